package org.chervillift.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.runtime.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class JsonClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration START_OF_SLOW = Duration.ofSeconds(1);
    private static final Duration ANSWER_OF_SLOW = Duration.ofMillis(1_200);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration PAUSE_BETWEEN_BYTES = Duration.ofMillis(100);
    private static final int SMALL_BUFFER_BYTES = 4_096;
    private static final int LARGE_BODY = 8_000_000;

    private final ReactorThread thread = new ReactorThread("json-client-test");

    @AfterEach
    void close() {
        thread.close();
    }

    @Test
    void aCallThatTimesOutLeavesTheOtherCallsUnderWay() {
        HostPort address = thread.await(this::listen);
        JsonClient client = new JsonClient(thread.reactor(), address, TIMEOUT, Optional.empty());

        String both =
                thread.await(
                        () -> {
                            Promise<String> silent =
                                    client.send(HttpMethod.GET, "/silent")
                                            .map(a -> "answered", fault -> "failed");
                            Promise<String> slow =
                                    Promises.delay(START_OF_SLOW)
                                            .then(() -> client.send(HttpMethod.GET, "/slow"))
                                            .map(HttpAnswer::body, Throwable::toString);
                            return silent.combine(slow, (a, b) -> a + ", " + b);
                        });

        assertThat(both).isEqualTo("failed, whole");
    }

    @Test
    void aCallThatTimedOutDoesNotReachTheServerLater() throws IOException {
        loadClientClasses();
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            HostPort address = new HostPort("127.0.0.1", server.getLocalPort());
            JsonClient client =
                    new JsonClient(thread.reactor(), address, TIMEOUT, Optional.empty());

            String outcome =
                    thread.await(
                            () ->
                                    client.send(HttpMethod.POST, "/order", new byte[LARGE_BODY])
                                            .map(a -> "answered", Throwable::getMessage));

            assertThat(outcome).isEqualTo("Read timeout");
            // The rest of the body was in the client's send buffer while the server did not read.
            try (Socket connection = server.accept()) {
                assertThatThrownBy(() -> connection.getInputStream().readAllBytes())
                        .isInstanceOf(SocketException.class);
            }
        }
    }

    /** Writes the answer to the next request on a connection. */
    private interface RawAnswer {
        void write(int connection, OutputStream out) throws IOException, InterruptedException;
    }

    /** Answers each connection's requests with bytes, until a write fails. */
    private static HostPort serveRaw(ServerSocket server, RawAnswer answer) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                for (int i = 1; true; i++) {
                                    Socket accepted = server.accept();
                                    int number = i;
                                    Thread.ofVirtual().start(() -> serve(accepted, number, answer));
                                }
                            } catch (IOException e) {
                                // The test has ended.
                            }
                        });
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    private static void serve(Socket accepted, int number, RawAnswer answer) {
        byte[] request = new byte[SMALL_BUFFER_BYTES];
        try (accepted) {
            while (accepted.getInputStream().read(request) > 0) {
                answer.write(number, accepted.getOutputStream());
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private String callRaw(JsonClient client) {
        return thread.await(
                () ->
                        client.send(HttpMethod.GET, "/x")
                                .map(a -> a.status() + " " + a.body(), fault -> "failed"));
    }

    /** A timeout of each read alone would begin anew with each byte. */
    @Test
    void anAnswerThatComesByteByByteIsNotWaitedForBeyondTheTimeout() throws IOException {
        loadClientClasses();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HostPort address =
                    serveRaw(
                            server,
                            (connection, out) -> {
                                out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n"));
                                for (int i = 0; i < 60; i++) {
                                    Thread.sleep(PAUSE_BETWEEN_BYTES);
                                    out.write('x');
                                }
                            });
            JsonClient client =
                    new JsonClient(thread.reactor(), address, SHORT_TIMEOUT, Optional.empty());
            assertThat(callRaw(client)).isEqualTo("failed");
        }
    }

    /** The answer proper stayed on the connection, and was taken for that of the next call. */
    @Test
    void anInterimAnswerIsNotTakenForTheAnswer() throws IOException {
        loadClientClasses();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HostPort address =
                    serveRaw(
                            server,
                            (connection, out) -> {
                                if (connection == 1) {
                                    out.write(ascii("HTTP/1.1 100 Continue\r\n\r\n"));
                                }
                                out.write(
                                        ascii(
                                                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                                        + connection));
                            });
            JsonClient client =
                    new JsonClient(thread.reactor(), address, TIMEOUT, Optional.empty());
            assertThat(callRaw(client)).isEqualTo("failed");
            assertThat(callRaw(client)).isEqualTo("200 2");
        }
    }

    /** Makes a call, since loading the classes may take longer than the connect timeout. */
    private void loadClientClasses() {
        HostPort address = thread.await(this::listen);
        JsonClient client = new JsonClient(thread.reactor(), address, TIMEOUT, Optional.empty());
        assertThat(thread.await(() -> client.send(HttpMethod.GET, "/slow")).body())
                .isEqualTo("whole");
    }

    private Promise<HostPort> listen() {
        HttpServer server =
                HttpServer.builder(thread.reactor(), JsonClientTest::serve)
                        .withListenAddress(new HostPort("127.0.0.1", 0).toSocketAddress())
                        .build();
        try {
            server.listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Promise.of(
                new HostPort("127.0.0.1", server.getBoundAddresses().getFirst().getPort()));
    }

    private static Promise<HttpResponse> serve(HttpRequest request) {
        if (request.getPath().equals("/silent")) {
            return Promise.ofCallback(cb -> {});
        }
        return Promises.delay(ANSWER_OF_SLOW)
                .then(() -> HttpResponse.ok200().withPlainText("whole").toPromise());
    }
}
