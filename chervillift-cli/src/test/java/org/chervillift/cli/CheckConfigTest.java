package org.chervillift.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.chervillift.cli.internal.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckConfigTest {

    private static final String SOUND =
            """
            {"version": 2,
             "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "backend": "p",
                         "max_attempts": 2, "target_latency_ms": 600}],
             "services": [{"name": "p"}],
             "tenants": [{"name": "a", "api_keys": ["secret"], "cap": {"cpu": 4000}}]}""";

    @TempDir private Path directory;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private int run(String... args) {
        out.reset();
        return CliMain.run(args, Map.of(), new PrintStream(out), new PrintStream(err));
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** The command runs before a change, where no daemon and no credential need be at hand. */
    @Test
    void aSoundConfigurationPassesWithoutADaemon() throws IOException {
        assertThat(run("check-config", file("new", SOUND))).isEqualTo(Outcome.DONE);
        assertThat(printed()).contains("Findings: 0.");
    }

    @Test
    void findingsAndDifferencesArePrintedAndSetTheExitCode() throws IOException {
        String odd =
                SOUND.replace("\"version\": 2", "\"version\": 1")
                        .replace("\"max_attempts\": 2", "\"max_attempts\": 0")
                        .replace("\"cpu\": 4000", "\"cpu\": 0.4")
                        .replace("\"name\": \"a\"", "\"name\": \"a\", \"weight\": 0");
        String inForce = file("in-force", SOUND);
        int exitCode = run("check-config", file("new", odd), "--in-force", inForce, "--json");
        assertThat(exitCode).isEqualTo(Outcome.REFUSED);
        assertThat(printed())
                .startsWith("{\"findings\":[")
                .contains(
                        "max_attempts",
                        "no limit",
                        "weight is not above 0",
                        "\"entry\":\"version\"",
                        "differences")
                .doesNotContain("secret");
    }

    /** Such a file was sent, and each process went on with the former configuration. */
    @Test
    void aConfigurationThatNoProcessCanUseHasAnExitCodeOfItsOwn() throws IOException {
        for (String unusable :
                new String[] {
                    "",
                    "{}",
                    SOUND.replace("\"backend\": \"p\",", ""),
                    SOUND.replace("{\"name\": \"p\"}", "{\"name\": \"p\"}, {\"name\": \"p\"}")
                }) {
            assertThat(run("check-config", file("new", unusable))).isEqualTo(Outcome.USAGE);
        }
        assertThat(run("check-config", directory.resolve("none").toString()))
                .isEqualTo(Outcome.USAGE);
    }
}
