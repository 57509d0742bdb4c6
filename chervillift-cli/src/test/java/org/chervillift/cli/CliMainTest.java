package org.chervillift.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.ErrorCode;
import org.chervillift.cli.internal.Outcome;
import org.chervillift.http.Answers;
import org.chervillift.http.ReactorThread;
import org.junit.jupiter.api.Test;

class CliMainTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Map<String, String> environment = new HashMap<>();

    @Test
    void withoutACommandItListsAllCommands() {
        assertThat(run()).isEqualTo(Outcome.USAGE);
        assertThat(text(err)).contains("apply SHEET").contains("withdraw-key KEY-ID");
    }

    @Test
    void theCredentialIsNotTakenFromTheCommandLine() {
        environment.put("CHERVILLIFT_SERVER", "127.0.0.1:1");

        assertThat(run("report", "--credential", "secret")).isEqualTo(Outcome.USAGE);
        assertThat(run("report")).isEqualTo(Outcome.USAGE);
        assertThat(text(err)).contains("--credential-file");
    }

    @Test
    void anOutputThatDoesNotExistIsRefused() {
        environment.put("CHERVILLIFT_SERVER", "127.0.0.1:1");
        environment.put("CHERVILLIFT_CREDENTIAL", "secret");

        assertThat(run("report", "--output", "xml")).isEqualTo(Outcome.USAGE);
        assertThat(text(err)).contains("text").contains("json");
    }

    @Test
    void aChangeWithoutAnAnswerIsNotKnownToHaveFailed() {
        environment.put("CHERVILLIFT_SERVER", "127.0.0.1:1");
        environment.put("CHERVILLIFT_CREDENTIAL", "secret");

        assertThat(run("withdraw-key", "abc")).isEqualTo(Outcome.UNKNOWN);
        assertThat(run("report")).isEqualTo(Outcome.REFUSED);
        assertThat(run("members")).isEqualTo(Outcome.REFUSED);
        assertThat(run("wave", "show", "w1")).isEqualTo(Outcome.REFUSED);
        assertThat(run("wave", "start", "w1")).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void aRefusalNamesItsNumber() {
        try (ReactorThread thread = new ReactorThread("server")) {
            serve(
                    thread,
                    request ->
                            Answers.error(
                                    ErrorCode.OPERATOR_REFUSED,
                                    String.valueOf(request.getHeader(HttpHeaders.AUTHORIZATION))));
            environment.put("CHERVILLIFT_CREDENTIAL", "secret");

            assertThat(run("report")).isEqualTo(Outcome.REFUSED);
            assertThat(text(err))
                    .contains(String.valueOf(ErrorCode.OPERATOR_REFUSED.number()))
                    .contains("Bearer secret");
            assertThat(text(out)).isEmpty();
        }
    }

    private void serve(ReactorThread thread, AsyncServlet servlet) {
        int port = thread.await(() -> listen(thread, servlet));
        environment.put("CHERVILLIFT_SERVER", "127.0.0.1:" + port);
    }

    private static Promise<Integer> listen(ReactorThread thread, AsyncServlet servlet) {
        HttpServer server = HttpServer.builder(thread.reactor(), servlet).withListenPort(0).build();
        try {
            server.listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Promise.of(server.getBoundAddresses().getFirst().getPort());
    }

    private int run(String... args) {
        return CliMain.run(args, environment, new PrintStream(out), new PrintStream(err));
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
