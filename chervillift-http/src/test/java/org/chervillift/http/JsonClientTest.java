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
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.runtime.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class JsonClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration START_OF_SLOW = Duration.ofSeconds(1);
    private static final Duration ANSWER_OF_SLOW = Duration.ofMillis(1_200);
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
