package org.chervillift.daemon.tasks;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Starts the program as usual, loads all of its own classes, and stops.
 *
 * <p>The build runs it once and lets the virtual machine keep an archive of the classes that it
 * loaded. A restarted process then reads them from there, which takes half the processor time.
 */
public final class ClassArchiveMain {

    private static final String OWN_JARS = "chervillift-(api|core|daemon|http|platform|runtime)-.*";
    private static final String CLASS_SUFFIX = ".class";
    private static final long SERVE_SECONDS = 2;

    private ClassArchiveMain() {}

    /**
     * Runs the program.
     *
     * @param args the settings file
     */
    public static void main(String[] args) throws InterruptedException, IOException {
        Thread program = new Thread(() -> FleetDaemonMain.main(args), "program");
        program.setDaemon(true);
        program.start();
        String[] path = System.getProperty("java.class.path").split(File.pathSeparator);
        List<Path> jars =
                Arrays.stream(path)
                        .map(Path::of)
                        .filter(p -> p.getFileName().toString().matches(OWN_JARS))
                        .toList();
        for (Path jar : jars) {
            loadAll(jar);
        }
        TimeUnit.SECONDS.sleep(SERVE_SECONDS);
        System.exit(0);
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
