package org.chervillift.core.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAnswer;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.RoutingDecision;

/**
 * The state machine of one request; each event returns the next state and the actions to perform.
 *
 * <p>A request is answered once. A non-idempotent request is sent again only if the previous
 * attempt is known not to have run. Immutable.
 *
 * @param facts the properties of the request, which do not change
 * @param phase what the request waits for
 * @param attempts the number of attempts so far
 * @param lost the error of the last attempt that may have run without a complete answer, if there
 *     was one
 * @param claim the claim that the request holds, if any
 * @param triedTargets the ids of the upstreams and entry VMs that the request was sent to
 */
public record RequestFlow(
        RequestFacts facts,
        Phase phase,
        int attempts,
        Optional<ErrorCode> lost,
        Optional<Claim> claim,
        Set<String> triedTargets) {

    private static final int MIN_RETRY_AFTER_SECONDS = 1;
    private static final int RETRY_AFTER_SPREAD_SECONDS = 3;

    public RequestFlow {
        Checks.notNull("facts", facts);
        Checks.notNull("phase", phase);
        Checks.notNull("lost", lost);
        Checks.notNull("claim", claim);
        triedTargets = Set.copyOf(triedTargets);
    }

    /** Starts processing a request. */
    public static Step start(RequestFacts facts, RetryContext retryContext, Instant now) {
        RequestFlow flow =
                new RequestFlow(
                        facts, Phase.CHOOSING, 0, Optional.empty(), Optional.empty(), Set.of());
        retryContext.budget().recordFirstAttempt();
        if (facts.claimKey().isEmpty() || isTooLate(facts, retryContext, now)) {
            return flow.chooseTarget(retryContext, now);
        }
        FlowAction requestClaim = new FlowAction.RequestClaim(facts.claimKey().get());
        return new Step(flow.withPhase(Phase.CLAIMING), List.of(requestClaim));
    }

    /** Handles an event; an event that the phase does not wait for changes nothing. */
    public Step handle(FlowEvent event, RetryContext retryContext, Instant now) {
        return switch (event) {
            case FlowEvent.ClaimAnswered c when phase == Phase.CLAIMING ->
                    onClaimAnswered(c, retryContext, now);
            case FlowEvent.TargetChosen c when phase == Phase.CHOOSING ->
                    onTargetChosen(c.choice(), retryContext);
            case FlowEvent.AttemptEnded a when phase == Phase.SENDING ->
                    onAttemptEnded(a.result(), retryContext, now);
            case FlowEvent.DelayElapsed d when phase == Phase.DELAYED ->
                    chooseTarget(retryContext, now);
            default -> new Step(this, List.of());
        };
    }

    private Step onClaimAnswered(
            FlowEvent.ClaimAnswered event, RetryContext retryContext, Instant now) {
        return switch (event.answer()) {
            case ClaimAnswer.Granted g -> onGranted(event.claim(), retryContext, now);
            case ClaimAnswer.ContentMismatch m -> refuse(ErrorCode.IDENTIFIER_REUSED, retryContext);
            case ClaimAnswer.Unavailable u -> refuse(ErrorCode.PLATFORM_UNAVAILABLE, retryContext);
            case ClaimAnswer.NotCompleted n ->
                    finish(failMayHaveRun(ErrorCode.IDENTIFIER_IN_USE, n.retryAfter()));
            case ClaimAnswer.AlreadyCompleted c -> onAlreadyCompleted(c.outcome());
        };
    }

    private Step onGranted(Optional<Claim> granted, RetryContext retryContext, Instant now) {
        RequestFlow claimHolder =
                new RequestFlow(facts, phase, attempts, lost, granted, triedTargets);
        return claimHolder.chooseTarget(retryContext, now);
    }

    private Step onAlreadyCompleted(ClaimOutcome outcome) {
        return switch (outcome) {
            case ClaimOutcome.Answered a -> finish(new FlowAction.Replay(a));
            case ClaimOutcome.AnswerNotStored n -> finish(new FlowAction.AnswerNotStored());
            case ClaimOutcome.Unknown u -> finish(failMayHaveRun(u.code(), Optional.empty()));
        };
    }

    private Step onTargetChosen(RoutingDecision choice, RetryContext retryContext) {
        return switch (choice) {
            case RoutingDecision.ToUpstream u -> send(choice);
            case RoutingDecision.ToEntryVm e -> send(choice);
            case RoutingDecision.NoRoom n -> giveUp(ErrorCode.NO_ROOM, retryContext);
            case RoutingDecision.NoUpstream n -> giveUp(ErrorCode.NO_UPSTREAM, retryContext);
        };
    }

    private Step send(RoutingDecision target) {
        RequestFlow next =
                new RequestFlow(
                        facts, Phase.SENDING, attempts + 1, lost, claim, triedTargetsAnd(target));
        boolean freshConnection = !facts.idempotent() || attempts > 0;
        return new Step(next, List.of(new FlowAction.Send(target, freshConnection)));
    }

    private Set<String> triedTargetsAnd(RoutingDecision target) {
        Set<String> targets = new HashSet<>(triedTargets);
        switch (target) {
            case RoutingDecision.ToUpstream u -> targets.add(u.upstream().id());
            case RoutingDecision.ToEntryVm e -> targets.add(e.entryVm().id());
            case RoutingDecision.NoRoom n -> {}
            case RoutingDecision.NoUpstream n -> {}
        }
        return targets;
    }

    private Step onAttemptEnded(AttemptResult result, RetryContext retryContext, Instant now) {
        return switch (result) {
            case AttemptResult.Answered a ->
                    finish(new FlowAction.ForwardAnswer(), new FlowAction.Completed());
            case AttemptResult.NotRun n ->
                    n.code() == ErrorCode.TEAM_LIMIT
                            ? giveUp(n.code(), retryContext)
                            : retry(n.code(), retryContext, now);
            case AttemptResult.MayHaveRun m -> {
                RequestFlow ambiguous =
                        new RequestFlow(
                                facts, phase, attempts, Optional.of(m.code()), claim, triedTargets);
                // A relayed request is retried by the entry VM that relayed it, and only there:
                // otherwise a request that crashes its upstreams would reach the square of the
                // attempts of one entry VM.
                yield facts.idempotent() && !facts.relayed()
                        ? ambiguous.retry(m.code(), retryContext, now)
                        : ambiguous.giveUp(m.code(), retryContext);
            }
        };
    }

    private Step retry(ErrorCode code, RetryContext retryContext, Instant now) {
        RetryPolicy.RetryDecision decision =
                retryContext
                        .policy()
                        .afterFailure(
                                attempts,
                                facts.deadline(),
                                retryContext.budget(),
                                retryContext.random(),
                                now);
        return switch (decision) {
            case RetryPolicy.GiveUp g -> giveUp(code, retryContext);
            case RetryPolicy.Retry r ->
                    new Step(withPhase(Phase.DELAYED), List.of(new FlowAction.Delay(r.delay())));
        };
    }

    private Step giveUp(ErrorCode code, RetryContext retryContext) {
        if (lost.isEmpty()) {
            return refuse(code, retryContext);
        }
        ErrorCode lostCode = lost.get();
        return finish(failMayHaveRun(lostCode, Optional.empty()), new FlowAction.Unknown(lostCode));
    }

    private Step refuse(ErrorCode code, RetryContext retryContext) {
        boolean retryUseful =
                code != ErrorCode.IDENTIFIER_REUSED && code != ErrorCode.DEADLINE_PASSED;
        Optional<Duration> retryAfter =
                retryUseful ? Optional.of(retryAfter(retryContext)) : Optional.empty();
        Verdict verdict = new Verdict.NotRun(code, code.sentence(), retryAfter);
        return finish(new FlowAction.Fail(verdict, retryAfter), new FlowAction.NeverRan());
    }

    private static Duration retryAfter(RetryContext retryContext) {
        int spread = retryContext.random().nextInt(RETRY_AFTER_SPREAD_SECONDS);
        return Duration.ofSeconds((long) MIN_RETRY_AFTER_SECONDS + spread);
    }

    private static FlowAction failMayHaveRun(ErrorCode code, Optional<Duration> retryAfter) {
        return new FlowAction.Fail(new Verdict.MayHaveRun(code, code.sentence()), retryAfter);
    }

    private Step chooseTarget(RetryContext retryContext, Instant now) {
        if (isTooLate(facts, retryContext, now)) {
            return giveUp(ErrorCode.DEADLINE_PASSED, retryContext);
        }
        return new Step(
                withPhase(Phase.CHOOSING), List.of(new FlowAction.ChooseTarget(triedTargets)));
    }

    private Step finish(FlowAction answer) {
        return new Step(withPhase(Phase.DONE), List.of(answer));
    }

    private Step finish(FlowAction answer, FlowAction.Ending ending) {
        List<FlowAction> actions = new ArrayList<>();
        claim.ifPresent(c -> actions.add(new FlowAction.CompleteClaim(c, ending)));
        actions.add(answer);
        return new Step(withPhase(Phase.DONE), actions);
    }

    private RequestFlow withPhase(Phase next) {
        return new RequestFlow(facts, next, attempts, lost, claim, triedTargets);
    }

    private static boolean isTooLate(RequestFacts facts, RetryContext retryContext, Instant now) {
        return now.plus(retryContext.policy().minTimeLeft()).isAfter(facts.deadline());
    }

    /** What a request waits for. */
    public enum Phase {
        /** The answer to its claim request. */
        CLAIMING,
        /** A target. */
        CHOOSING,
        /** The end of an attempt. */
        SENDING,
        /** The delay before the next attempt. */
        DELAYED,
        /** Nothing; the request was answered. */
        DONE
    }

    /**
     * The next state and the actions to perform.
     *
     * @param flow the next state
     * @param actions the actions to perform, in order
     */
    public record Step(RequestFlow flow, List<FlowAction> actions) {
        public Step {
            Checks.notNull("flow", flow);
            actions = List.copyOf(actions);
        }
    }
}
