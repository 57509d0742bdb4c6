package org.chervillift.bench.start;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the flags of the deploy file start a program whatever its archive of classes holds.
 */
class DamagedArchiveTest {

    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String CLASS_FILE =
            StartedProgram.class.getName().replace('.', '/') + ".class";

    @TempDir Path directory;
    private Path jar;
    private Path archive;

    /** The program whose classes the archive holds. */
    static final class StartedProgram {
        private StartedProgram() {}

        /** Says that it has started. */
        public static void main(String[] args) {
            System.out.println(List.of("started").stream().map(s -> s + ".").toList());
        }
    }

    private record Ended(int code, String output) {}

    @BeforeEach
    void archiveTheClassesOfAProgram() throws Exception {
        jar = directory.resolve("program.jar");
        archive = directory.resolve("program.jsa");
        try (InputStream code = getClass().getClassLoader().getResourceAsStream(CLASS_FILE);
                JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar))) {
            out.putNextEntry(new JarEntry(CLASS_FILE));
            code.transferTo(out);
        }
        Ended made =
                run(List.of("-XX:+UseSerialGC", "-XX:ArchiveClassesAtExit=" + archive.toString()));
        assertThat(made.code()).as(made.output()).isZero();
    }

    /** Each start ended with SIGSEGV, so that no process of a tree was ever ready. */
    @Test
    void aDamagedArchiveDoesNotEndTheProcess() throws Exception {
        assertStarts();
        byte[] damaged = Files.readAllBytes(archive);
        Arrays.fill(damaged, damaged.length / 4, damaged.length * 3 / 4, (byte) 0);
        Files.write(archive, damaged);
        assertStarts();
    }

    @Test
    void anArchiveThatIsCutOffOrMissingDoesNotEndTheProcess() throws Exception {
        byte[] whole = Files.readAllBytes(archive);
        Files.write(archive, Arrays.copyOf(whole, whole.length / 2));
        assertStarts();
        Files.write(archive, new byte[0]);
        assertStarts();
        Files.delete(archive);
        assertStarts();
    }

    private void assertStarts() throws Exception {
        List<String> flags = new ArrayList<>(deployedFlags());
        flags.replaceAll(f -> f.startsWith("-XX:SharedArchiveFile=") ? archiveFlag() : f);
        Ended ended = run(flags);
        assertThat(ended.code()).as(ended.output()).isZero();
        assertThat(ended.output()).contains("started.");
    }

    private String archiveFlag() {
        return "-XX:SharedArchiveFile=" + archive;
    }

    private static List<String> deployedFlags() throws IOException {
        return DeployedCommand.read(Path.of("..")).flags();
    }

    private Ended run(List<String> flags) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(JAVA));
        command.addAll(flags);
        command.addAll(List.of("-cp", jar.toString(), StartedProgram.class.getName()));
        Process process =
                new ProcessBuilder(command)
                        .directory(directory.toFile())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ended(process.waitFor(), output);
    }
}
