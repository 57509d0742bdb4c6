package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.daemon.tasks.relay.PeerCalls;
import org.chervillift.daemon.tasks.relay.PeerReply;
import org.chervillift.daemon.tasks.relay.RelayedAnswer;
import org.chervillift.daemon.tasks.relay.RelayedRequest;
import org.chervillift.runtime.settings.HostPort;

/**
 * The links between the processes of a soak; some replies are lost, and a dead process has none.
 */
final class SoakPeers {

    private static final int LOST_REPLY_PERCENT = 10;
    private static final int ALL = 100;
    private static final int MAX_LATENCY_MILLIS = 4;

    private final Random random;
    private final Function<String, JobSpec> specs;
    private final Map<String, Peer> peers = new HashMap<>();
    private int answered;

    private record Peer(SoakProcess process, TaskNode node) {}

    /**
     * Creates links without processes.
     *
     * @param specs returns the job of an identifier, in place of the body of a request
     */
    SoakPeers(Random random, Function<String, JobSpec> specs) {
        this.random = random;
        this.specs = specs;
    }

    static HostPort addressOf(int process) {
        return new HostPort("127.0.0.1", 1_000 + process);
    }

    void add(int number, SoakProcess process, TaskNode node) {
        peers.put(addressOf(number).toString(), new Peer(process, node));
    }

    /** Returns the number of requests that a process answered for another one. */
    int answered() {
        return answered;
    }

    PeerCalls callsOf(SoakProcess from) {
        return (address, request) -> {
            CompletableFuture<PeerReply> reply = from.newFuture();
            Peer to = peers.get(address);
            if (to.process().isDead()) {
                from.complete(reply, new PeerReply.NotReached("gone"), null);
            } else {
                boolean lost = random.nextInt(ALL) < LOST_REPLY_PERCENT;
                Duration latency = Duration.ofMillis(random.nextInt(MAX_LATENCY_MILLIS));
                to.process().schedule(latency, () -> deliver(from, to, request, lost, reply));
            }
            return reply;
        };
    }

    private void deliver(
            SoakProcess from,
            Peer to,
            RelayedRequest request,
            boolean lost,
            CompletableFuture<PeerReply> reply) {
        to.node()
                .answerForPeer(request.toJobRequest((id, body) -> specs.apply(id)))
                .whenComplete(
                        (answer, fault) ->
                                from.complete(
                                        reply,
                                        lost || fault != null
                                                ? new PeerReply.NoAnswer("lost")
                                                : answered(answer),
                                        null));
    }

    private PeerReply answered(RelayedAnswer answer) {
        answered++;
        return new PeerReply.Answered(answer);
    }
}
