package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process says that has started and cannot become ready. */
class StartedNeverReadyTest {

    private static final long END_SECONDS = 30;
    private static final String FREE = "127.0.0.1:0";

    @TempDir Path directory;

    /** The log ended with "The process is starting.", and the answer was "not ready" only. */
    @Test
    void logAndAnswerSayWhyAProcessIsNotReady() throws Exception {
        String readiness = "127.0.0.1:" + freePort();
        try (DaemonProcess daemon = DaemonProcess.start(directory, readiness, FREE);
                BufferedReader log = daemon.process().inputReader(StandardCharsets.UTF_8)) {
            awaitLine(log, "event=7006");
            awaitLine(log, "event=7008 .* state=STORE_UNRESPONSIVE .* storeFailure=\".+\"");
            HttpResponse<String> answer = ask(readiness);
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.body())
                    .contains("not ready for ", "the store does not respond", "last failure");
        }
    }

    @Test
    void aProcessThatCannotOpenItsServersEnds() throws Exception {
        try (DaemonProcess daemon = DaemonProcess.start(directory, "192.0.2.1:8343", FREE)) {
            String output =
                    new String(
                            daemon.process().getInputStream().readAllBytes(),
                            StandardCharsets.UTF_8);
            assertThat(daemon.process().waitFor()).as(output).isEqualTo(1);
            assertThat(output).contains("event=1005", "192.0.2.1:8343");
        }
    }

    /** The process waited for ever for its last lines to be taken. */
    @Test
    void aProcessEndsAlsoWhenItsOutputIsNotTaken() throws Exception {
        try (DaemonProcess daemon =
                DaemonProcess.startWithFullOutput(directory, "192.0.2.1:8343", FREE)) {
            assertThat(daemon.process().waitFor(END_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(daemon.process().exitValue()).isEqualTo(1);
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void awaitLine(BufferedReader log, String pattern) throws Exception {
        StringBuilder seen = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.matches(".*" + pattern + ".*")) {
                return;
            }
            seen.append(line).append('\n');
        }
        assertThat(seen.toString()).as("the log of a process that has ended").contains(pattern);
    }

    private static HttpResponse<String> ask(String address) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/-/readiness")).build();
        return HttpClient.newBuilder()
                .proxy(HttpClient.Builder.NO_PROXY)
                .build()
                .send(request, HttpResponse.BodyHandlers.ofString());
    }
}
