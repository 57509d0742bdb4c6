package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process says that cannot listen at its address. */
class PortInUseTest {

    /** The line was missing in about one try of three. */
    private static final int TRIES = 5;

    @TempDir Path directory;

    /** The process ended before its log was written, and nothing said why. */
    @RepeatedTest(TRIES)
    void aProcessWhoseAddressIsInUseSaysSoBeforeItEnds() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            Process process = DaemonProcess.start(directory, "127.0.0.1:0", address).process();
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(1);
            assertThat(output).contains("BindException", "Cannot listen at " + address);
        }
    }
}
