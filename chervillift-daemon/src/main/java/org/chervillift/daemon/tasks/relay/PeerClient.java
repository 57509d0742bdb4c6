package org.chervillift.daemon.tasks.relay;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.relay.RelayPeers;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.HttpStatus;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.runtime.settings.HostPort;

/** Sends requests to other entry VMs over HTTP, and keeps a client for each address. */
public final class PeerClient implements PeerCalls {

    private final Function<HostPort, JsonClient> connect;
    private final Map<String, JsonClient> clients = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates a client.
     *
     * @param connect creates the HTTP client of an address; it must close idle connections sooner
     *     than the server does, so that no request meets a connection that is being closed
     */
    public PeerClient(Function<HostPort, JsonClient> connect) {
        this.connect = Checks.notNull("connect", connect);
    }

    @Override
    public CompletionStage<PeerReply> send(String address, RelayedRequest request) {
        byte[] body = Json.encode(request).getBytes(StandardCharsets.UTF_8);
        return clientOf(address)
                .send(HttpMethod.POST, PeerServlet.PATH, body)
                .then(
                        (answer, fault) ->
                                Promise.of(fault == null ? decode(answer) : toReply(fault)))
                .toCompletableFuture();
    }

    private JsonClient clientOf(String address) {
        JsonClient client = clients.computeIfAbsent(address, a -> connect.apply(HostPort.parse(a)));
        if (clients.size() > RelayPeers.MAX_PEERS) {
            String leastRecentlyUsed = clients.keySet().iterator().next();
            clients.remove(leastRecentlyUsed).stop();
        }
        return client;
    }

    private static PeerReply decode(HttpAnswer answer) {
        if (answer.status() == HttpStatus.BAD_REQUEST || answer.status() == HttpStatus.NOT_FOUND) {
            return new PeerReply.NotReached("The peer refused the message.");
        }
        if (!answer.isSuccess()) {
            return new PeerReply.NoAnswer("The peer answered with status " + answer.status());
        }
        try {
            AnswerMessage message = Json.decode(answer.body(), AnswerMessage.class);
            return new PeerReply.Answered(message.toAnswer());
        } catch (RuntimeException e) {
            return new PeerReply.NoAnswer("The peer's answer cannot be decoded.");
        }
    }

    private static PeerReply toReply(Exception fault) {
        String why = String.valueOf(fault.getMessage());
        // The HTTP client wraps the fault of the socket.
        boolean notConnected =
                fault instanceof ConnectException || fault.getCause() instanceof ConnectException;
        return notConnected ? new PeerReply.NotReached(why) : new PeerReply.NoAnswer(why);
    }
}
