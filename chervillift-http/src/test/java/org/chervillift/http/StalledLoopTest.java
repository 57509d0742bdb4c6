package org.chervillift.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.runtime.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a stall of the event loop is not taken for a failure of the other side. */
class StalledLoopTest {

    private static final long STALL_MILLIS = 900;

    private final ReactorThread server = new ReactorThread("server");
    private final ReactorThread thread = new ReactorThread("client");

    @AfterEach
    void close() {
        thread.close();
        server.close();
    }

    private Promise<HostPort> listen() {
        HttpServer http =
                HttpServer.builder(
                                server.reactor(),
                                r ->
                                        Promises.delay(Duration.ofMillis(100))
                                                .then(
                                                        () ->
                                                                HttpResponse.ok200()
                                                                        .withPlainText("whole")
                                                                        .toPromise()))
                        .withListenAddress(new HostPort("127.0.0.1", 0).toSocketAddress())
                        .build();
        try {
            http.listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Promise.of(new HostPort("127.0.0.1", http.getBoundAddresses().getFirst().getPort()));
    }

    private static void stall() {
        try {
            Thread.sleep(STALL_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private String callBeforeStall(JsonClient client, long stallAfter) {
        return thread.await(
                () -> {
                    Promise<String> answer =
                            client.send(HttpMethod.GET, "/x")
                                    .map(HttpAnswer::body, Throwable::toString);
                    thread.reactor().delay(stallAfter, StalledLoopTest::stall);
                    return answer;
                });
    }

    /** Timers ran before the sockets were read, so that all calls in flight timed out at once. */
    @Test
    void anAnswerThatLiesInTheSocketAfterAStallIsRead() {
        HostPort address = server.await(this::listen);
        JsonClient client =
                new JsonClient(thread.reactor(), address, Duration.ofMillis(300), Optional.empty());
        for (int i = 0; i < 3; i++) {
            thread.await(
                    () ->
                            client.send(HttpMethod.GET, "/x")
                                    .map(HttpAnswer::body, Throwable::toString));
        }
        assertThat(callBeforeStall(client, 20)).isEqualTo("whole");
    }

    @Test
    void aConnectionThatIsOpenAfterAStallIsUsed() {
        HostPort address = server.await(this::listen);
        JsonClient warm =
                new JsonClient(thread.reactor(), address, Duration.ofSeconds(3), Optional.empty());
        for (int i = 0; i < 3; i++) {
            thread.await(
                    () ->
                            warm.send(HttpMethod.GET, "/x")
                                    .map(HttpAnswer::body, Throwable::toString));
        }
        JsonClient client =
                new JsonClient(thread.reactor(), address, Duration.ofSeconds(3), Optional.empty());
        assertThat(callBeforeStall(client, 0)).isEqualTo("whole");
    }
}
