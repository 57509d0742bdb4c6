package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.core.tasks.relay.RelayAnswers;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.core.tasks.relay.RelayPeers;
import org.chervillift.core.tasks.relay.RelayResult;
import org.chervillift.core.tasks.relay.RelayTry;
import org.chervillift.daemon.tasks.relay.PeerCalls;
import org.chervillift.daemon.tasks.relay.PeerReply;
import org.chervillift.daemon.tasks.relay.RelayedRequest;
import org.chervillift.runtime.supervision.Scheduler.Cancellation;

/**
 * Sends requests that this process cannot serve to the peers that {@link RelayPeers} chooses.
 *
 * <p>All requests are idempotent by the job's identifier, so one that a peer may have handled can
 * be sent to another. What the caller is told then never claims that the job has not run.
 */
final class RequestRelay implements Relay {

    /**
     * The longest body that is relayed, in characters. A job of a longer one is refused in any
     * case, and the JSON text of a message stays below what a peer reads.
     */
    static final int MAX_BODY_LENGTH = 65_536;

    /**
     * When the connection of a try is given up. HTTP timeouts are looked at once a second, so a
     * connection may be in use for longer than its answer is waited for.
     */
    private static final Duration CALL_BOUND =
            Duration.ofMillis(RelayPeers.MAX_TRY_MILLIS).plusSeconds(2);

    private final RelayPeers peers;
    private final PeerCalls peerCalls;
    private final BoundedCalls boundedCalls;
    private final Supervision supervision;
    private final RelayMetrics metrics;
    private final RelayLog log;

    RequestRelay(RelayPeers peers, PeerCalls calls, Supervision supervision, RelayMetrics metrics) {
        this.peers = Checks.notNull("peers", peers);
        this.peerCalls = Checks.notNull("calls", calls);
        this.supervision = Checks.notNull("supervision", supervision);
        this.metrics = Checks.notNull("metrics", metrics);
        this.log = new RelayLog(supervision.scheduler());
        this.boundedCalls =
                new BoundedCalls(
                        supervision,
                        why -> new ChervilliftException(ErrorCode.OUTCOME_UNKNOWN, why));
    }

    /** A request that is being relayed. */
    private static final class Relayed {
        private final JobRequest request;
        private final AnswerWithBasis local;
        private final RelayCause cause;
        private final long callerUntil;
        private final Set<String> triedVms = new HashSet<>();
        private boolean mayHaveTakenEffect;

        Relayed(JobRequest request, AnswerWithBasis local, long callerUntil) {
            this.request = request;
            this.local = local;
            this.cause = local.relayCause().orElseThrow();
            this.callerUntil = callerUntil;
            this.mayHaveTakenEffect = local.answer() instanceof JobAnswer.OutcomeUnknown;
        }

        private AnswerWithBasis toCaller(JobAnswer answer, AnswerBasis basis) {
            return new AnswerWithBasis(
                    RelayAnswers.toCaller(request.action(), mayHaveTakenEffect, answer), basis);
        }

        /** Returns the answer if no peer has served the request. */
        AnswerWithBasis unserved() {
            return toCaller(local.answer(), local.basis());
        }
    }

    @Override
    public CompletionStage<AnswerWithBasis> relayIfNeeded(
            JobRequest request, AnswerWithBasis local, long arrivedAt) {
        if (local.relayCause().isEmpty() || request.body().length() > MAX_BODY_LENGTH) {
            return CompletableFuture.completedFuture(local);
        }
        Relayed relayed = new Relayed(request, local, callerUntil(request, arrivedAt));
        return tryNext(relayed);
    }

    private long callerUntil(JobRequest request, long arrivedAt) {
        return request.callerWait()
                .map(wait -> arrivedAt + wait.toMillis())
                .orElse(nowMillis() + RelayPeers.MAX_TRIES * RelayPeers.MAX_TRY_MILLIS);
    }

    private CompletionStage<AnswerWithBasis> tryNext(Relayed relayed) {
        Optional<RelayTry> next = peers.choose(relayed.triedVms, relayed.callerUntil, nowMillis());
        if (next.isEmpty()) {
            if (relayed.triedVms.isEmpty()) {
                metrics.countNotTried();
            }
            return CompletableFuture.completedFuture(relayed.unserved());
        }
        RelayTry chosen = next.get();
        relayed.triedVms.add(chosen.peer().vm());
        log.recordStart(relayed.cause, chosen.peer().vm());
        return send(relayed.request, chosen).thenCompose(reply -> onReply(relayed, chosen, reply));
    }

    /** Sends a request; the reply comes within the timeout of the try, and never as a failure. */
    private CompletionStage<PeerReply> send(JobRequest request, RelayTry chosen) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        Cancellation timeout =
                supervision
                        .scheduler()
                        .schedule(
                                Duration.ofMillis(chosen.timeoutMillis()),
                                () -> reply.complete(new PeerReply.NoAnswer("timeout")));
        RelayedRequest message = RelayedRequest.of(request, chosen.timeoutMillis());
        boundedCalls
                .call("relay", CALL_BOUND, () -> peerCalls.send(chosen.peer().address(), message))
                .whenComplete(
                        (value, fault) -> {
                            peers.release(chosen);
                            timeout.cancel();
                            reply.complete(
                                    fault == null
                                            ? value
                                            : new PeerReply.NoAnswer(fault.getMessage()));
                        });
        return reply;
    }

    private CompletionStage<AnswerWithBasis> onReply(
            Relayed relayed, RelayTry chosen, PeerReply reply) {
        RelayResult result = resultOf(reply);
        peers.recordResult(chosen, result, nowMillis());
        metrics.countTry(result);
        log.recordEnd(result == RelayResult.ANSWERED);
        return switch (reply) {
            case PeerReply.Answered a when a.answer().cause().isEmpty() ->
                    CompletableFuture.completedFuture(
                            relayed.toCaller(
                                    a.answer().answer(), new AnswerBasis.Peer(chosen.peer().vm())));
            case PeerReply.Answered a -> {
                relayed.mayHaveTakenEffect |=
                        a.answer().answer() instanceof JobAnswer.OutcomeUnknown;
                yield tryNext(relayed);
            }
            case PeerReply.NotReached n -> tryNext(relayed);
            case PeerReply.NoAnswer n -> {
                relayed.mayHaveTakenEffect = true;
                yield tryNext(relayed);
            }
        };
    }

    private static RelayResult resultOf(PeerReply reply) {
        return switch (reply) {
            case PeerReply.Answered a ->
                    a.answer().cause().map(RequestRelay::resultOf).orElse(RelayResult.ANSWERED);
            case PeerReply.NotReached n -> RelayResult.NOT_REACHED;
            case PeerReply.NoAnswer n -> RelayResult.NO_ANSWER;
        };
    }

    private static RelayResult resultOf(RelayCause cause) {
        return cause == RelayCause.BUSY ? RelayResult.BUSY : RelayResult.NOT_SERVED;
    }

    private long nowMillis() {
        return supervision.scheduler().now().toEpochMilli();
    }
}
