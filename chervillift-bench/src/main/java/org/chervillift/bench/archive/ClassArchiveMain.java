package org.chervillift.bench.archive;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.chervillift.daemon.tasks.FleetDaemonMain;
import org.chervillift.daemon.tasks.FleetSettings;
import org.chervillift.http.ReactorThread;

/**
 * Lets the daemon do all its kinds of work against a stand-in of the platform, and stops.
 *
 * <p>The build runs it once and lets the virtual machine keep an archive of the classes and call
 * sites that were used. A restarted daemon then reads them from there, which takes half the
 * processor time.
 */
public final class ClassArchiveMain {

    private static final String OWN_JARS = "chervillift-(api|core|daemon|http|platform|runtime)-.*";
    private static final String CLASS_SUFFIX = ".class";
    private static final int EXIT_FAILED = 1;

    private ClassArchiveMain() {}

    /**
     * Runs the daemon.
     *
     * @param args the settings file, whose ports are replaced, and where the changed file goes
     */
    public static void main(String[] args) throws IOException {
        Path file = Path.of(args[1]);
        Files.writeString(file, FreePorts.replacedIn(Files.readString(Path.of(args[0]))));
        FleetSettings settings = FleetSettings.read(file);
        try (ReactorThread thread = new ReactorThread("class-archive")) {
            LocalPlatform.start(thread, settings.store());
            TrainingDay day = new TrainingDay(thread, settings);
            Thread daemon =
                    new Thread(
                            () -> FleetDaemonMain.main(new String[] {file.toString()}), "daemon");
            daemon.setDaemon(true);
            daemon.start();
            loadOwnClasses();
            boolean whole = day.play();
            System.exit(whole ? 0 : EXIT_FAILED);
        }
    }

    private static void loadOwnClasses() throws IOException {
        String[] path = System.getProperty("java.class.path").split(File.pathSeparator);
        List<Path> jars =
                Arrays.stream(path)
                        .map(Path::of)
                        .filter(p -> p.getFileName().toString().matches(OWN_JARS))
                        .toList();
        for (Path jar : jars) {
            loadAll(jar);
        }
    }

    private static void loadAll(Path jar) throws IOException {
        try (JarFile file = new JarFile(jar.toFile())) {
            file.stream()
                    .map(JarEntry::getName)
                    .filter(n -> n.endsWith(CLASS_SUFFIX) && !n.contains("-info"))
                    .map(n -> n.substring(0, n.length() - CLASS_SUFFIX.length()).replace('/', '.'))
                    .forEach(ClassArchiveMain::load);
        }
    }

    private static void load(String name) {
        try {
            Class.forName(name, false, ClassArchiveMain.class.getClassLoader());
        } catch (ClassNotFoundException | LinkageError e) {
            System.err.println("not in the archive: " + e);
        }
    }
}
