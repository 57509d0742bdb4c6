package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process says that cannot listen at its address. */
class PortInUseTest {

    /** The line was missing in about one try of three. */
    private static final int TRIES = 5;

    private static final String SETTINGS =
            """
            [vm]
            id = edge-1
            data-centre = z1
            link-mbps = 1000
            [callers]
            address = 127.0.0.1:0
            [readiness]
            address = 127.0.0.1:0
            [metrics]
            address = 127.0.0.1:%d
            [store]
            address = 127.0.0.1:1
            max-row-bytes = 65536
            [vms]
            address = 127.0.0.1:1
            take-turns-after-ms = 3000
            maintenance-s = 2
            move-s = 1.5
            [workers]
            max-lease-ms = 6000
            stop-timeout-ms = 400
            [jobs]
            cancel-within-ms = 3000
            keep-finished-s = 120
            [shutdown]
            grace-s = 6
            """;

    @TempDir Path directory;

    /** The process ended before its log was written, and nothing said why. */
    @RepeatedTest(TRIES)
    void aProcessWhoseAddressIsInUseSaysSoBeforeItEnds() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = start(taken.getLocalPort());
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(1);
            assertThat(output).contains("BindException");
        }
    }

    private Process start(int port) throws IOException {
        Path settings = directory.resolve("edge-1.ini");
        Files.writeString(settings, SETTINGS.formatted(port));
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Dlog4j2.configurationFile=log4j2-fleet.properties",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FleetDaemonMain.class.getName(),
                        settings.toString())
                .redirectErrorStream(true)
                .start();
    }
}
