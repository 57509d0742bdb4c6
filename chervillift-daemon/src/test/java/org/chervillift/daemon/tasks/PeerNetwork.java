package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.daemon.tasks.relay.PeerCalls;
import org.chervillift.daemon.tasks.relay.PeerReply;
import org.chervillift.daemon.tasks.relay.RelayedRequest;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Scheduler;

/** The links between entry VMs in virtual time; a VM can be gone, silent, or lose its replies. */
final class PeerNetwork {

    private static final Duration LATENCY = Duration.ofMillis(2);

    private final Scheduler scheduler;
    private final Map<String, TaskNode> nodes = new HashMap<>();
    private final List<String> sent = new ArrayList<>();
    private final Set<String> gone = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> losingReplies = new HashSet<>();

    PeerNetwork(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    static HostPort addressOf(String vm) {
        return new HostPort("127.0.0.1", 1_000 + vm.charAt(0));
    }

    void add(String vm, TaskNode node) {
        nodes.put(addressOf(vm).toString(), node);
    }

    /** Returns each request that was sent, as sender and receiver. */
    List<String> sent() {
        return sent;
    }

    void setGone(String vm) {
        setGone(vm, true);
    }

    void setGone(String vm, boolean value) {
        if (value) {
            gone.add(addressOf(vm).toString());
        } else {
            gone.remove(addressOf(vm).toString());
        }
    }

    void setSilent(String vm) {
        silent.add(addressOf(vm).toString());
    }

    void setLosingReplies(String vm) {
        losingReplies.add(addressOf(vm).toString());
    }

    PeerCalls callsOf(String vm) {
        return (address, request) -> {
            sent.add(vm + " to " + address);
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            scheduler.schedule(LATENCY, () -> deliver(address, request, reply));
            return reply;
        };
    }

    private void deliver(
            String address, RelayedRequest request, CompletableFuture<PeerReply> reply) {
        if (gone.contains(address)) {
            reply.complete(new PeerReply.NotReached("connection refused"));
            return;
        }
        if (silent.contains(address)) {
            return;
        }
        handle(nodes.get(address), request)
                .thenAccept(
                        answer ->
                                reply.complete(
                                        losingReplies.contains(address)
                                                ? new PeerReply.NoAnswer("connection reset")
                                                : answer));
    }

    private static CompletionStage<PeerReply> handle(TaskNode node, RelayedRequest request) {
        return node.answerForPeer(
                        request.toJobRequest((id, body) -> NodeFixture.spec(id, "payload", 1)))
                .thenApply(PeerReply.Answered::new);
    }
}
