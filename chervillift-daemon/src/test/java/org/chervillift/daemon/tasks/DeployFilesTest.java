package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that the build and run commands of the deployment match the code and each other. */
class DeployFilesTest {

    private static final Path ROOT = Path.of("..");
    private static final Pattern LOG_CONFIGURATION =
            Pattern.compile("-Dlog4j2\\.configurationFile=(\\S+?)[\\s\"]");
    private static final Pattern CLASS_ARCHIVE =
            Pattern.compile("(?:SharedArchiveFile|ArchiveClassesAtExit)=(\\S+)");
    private static final Pattern MAIN_CLASS = Pattern.compile("org\\.chervillift\\.\\S+Main");

    private static String read(String file) throws IOException {
        return Files.readString(ROOT.resolve(file));
    }

    private static Set<String> findAll(Pattern pattern, int group, String... texts) {
        return pattern.matcher(String.join("\n", texts))
                .results()
                .map((MatchResult r) -> r.group(group))
                .collect(Collectors.toSet());
    }

    @Test
    void classArchiveSettingsAreValid() {
        FleetSettings settings = FleetSettings.read(ROOT.resolve("deploy/class-archive.ini"));
        assertThat(settings.vm()).isEqualTo("class-archive");
    }

    @Test
    void buildAndRunCommandUseTheSameFiles() throws IOException {
        String build = read("bin/fleet-build");
        String deploy = read("deploy/system.toml");
        Set<String> logging = findAll(LOG_CONFIGURATION, 1, build, deploy);
        assertThat(logging).hasSize(1);
        assertThat(getClass().getClassLoader().getResource(logging.iterator().next())).isNotNull();
        assertThat(findAll(CLASS_ARCHIVE, 1, build, deploy)).containsExactly("target/fleet.jsa");
        assertThat(build).contains("> target/classpath.args");
        assertThat(deploy).contains(" @target/classpath.args ");
    }

    @Test
    void mainClassesExist() throws IOException {
        Set<String> names =
                findAll(MAIN_CLASS, 0, read("bin/fleet-build"), read("deploy/system.toml"));
        assertThat(names)
                .containsExactlyInAnyOrder(
                        FleetDaemonMain.class.getName(),
                        "org.chervillift.bench.archive.ClassArchiveMain");
    }
}
