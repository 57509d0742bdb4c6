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
import org.chervillift.core.claims.Outcome;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.RoutingDecision;

/**
 * The course of one request; each step returns the next state and what to do.
 *
 * <p>A request is answered once. A non-idempotent request is sent again only when the attempt
 * before is known not to have run. Immutable.
 *
 * @param facts what does not change
 * @param phase what the request waits for
 * @param attempts attempts made so far
 * @param lost why an attempt may have run without an answer, if one may
 * @param claim the claim that is held
 * @param tried the upstreams that failed this request
 */
public record RequestFlow(
        RequestFacts facts,
        Phase phase,
        int attempts,
        Optional<ErrorCode> lost,
        Optional<Claim> claim,
        Set<String> tried) {

    private static final int LEAST_RETRY_AFTER_SECONDS = 1;
    private static final int RETRY_AFTER_SPREAD_SECONDS = 3;

    public RequestFlow {
        Checks.notNull("facts", facts);
        Checks.notNull("phase", phase);
        Checks.notNull("lost", lost);
        Checks.notNull("claim", claim);
        tried = Set.copyOf(tried);
    }

    /** Starts the course of a request. */
    public static Step start(RequestFacts facts, RetryTools tools, Instant now) {
        RequestFlow flow =
                new RequestFlow(
                        facts, Phase.CHOOSING, 0, Optional.empty(), Optional.empty(), Set.of());
        tools.budget().recordFirstAttempt();
        if (facts.claimKey().isEmpty() || isLate(facts, tools, now)) {
            return flow.choose(tools, now);
        }
        FlowAction ask = new FlowAction.AskClaim(facts.claimKey().get());
        return new Step(flow.to(Phase.CLAIMING), List.of(ask));
    }

    /** Takes an event in; an event that the phase does not wait for changes nothing. */
    public Step on(FlowEvent event, RetryTools tools, Instant now) {
        return switch (event) {
            case FlowEvent.ClaimAnswered c when phase == Phase.CLAIMING -> onClaim(c, tools, now);
            case FlowEvent.Chosen c when phase == Phase.CHOOSING -> onChosen(c.choice(), tools);
            case FlowEvent.AttemptEnded a when phase == Phase.SENDING ->
                    onAttempt(a.result(), tools, now);
            case FlowEvent.DelayOver d when phase == Phase.DELAYED -> choose(tools, now);
            default -> new Step(this, List.of());
        };
    }

    private Step onClaim(FlowEvent.ClaimAnswered event, RetryTools tools, Instant now) {
        return switch (event.answer()) {
            case ClaimAnswer.Granted g -> onGranted(event.claim(), tools, now);
            case ClaimAnswer.OtherContent o -> refuse(ErrorCode.IDENTIFIER_REUSED, tools);
            case ClaimAnswer.Unavailable u -> refuse(ErrorCode.PLATFORM_UNAVAILABLE, tools);
            case ClaimAnswer.Unended u ->
                    done(mayHaveRun(ErrorCode.IDENTIFIER_IN_USE, u.retryAfter()));
            case ClaimAnswer.Ended e -> onEndedBefore(e.outcome());
        };
    }

    private Step onGranted(Optional<Claim> granted, RetryTools tools, Instant now) {
        RequestFlow holder = new RequestFlow(facts, phase, attempts, lost, granted, tried);
        return holder.choose(tools, now);
    }

    private Step onEndedBefore(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered a -> done(new FlowAction.Replay(a));
            case Outcome.AnswerNotKept n -> done(new FlowAction.AnswerNotKept());
            case Outcome.Unknown u -> done(mayHaveRun(u.code(), Optional.empty()));
        };
    }

    private Step onChosen(RoutingDecision choice, RetryTools tools) {
        return switch (choice) {
            case RoutingDecision.ToUpstream u -> send(choice);
            case RoutingDecision.ToEntryVm e -> send(choice);
            case RoutingDecision.NoRoom n -> giveUp(ErrorCode.NO_ROOM, tools);
            case RoutingDecision.NoUpstream n -> giveUp(ErrorCode.NO_UPSTREAM, tools);
        };
    }

    private Step send(RoutingDecision target) {
        RequestFlow next =
                new RequestFlow(
                        facts, Phase.SENDING, attempts + 1, lost, claim, withTarget(target));
        boolean fresh = !facts.idempotent() || attempts > 0;
        return new Step(next, List.of(new FlowAction.Send(target, fresh)));
    }

    private Set<String> withTarget(RoutingDecision target) {
        Set<String> all = new HashSet<>(tried);
        switch (target) {
            case RoutingDecision.ToUpstream u -> all.add(u.upstream().id());
            case RoutingDecision.ToEntryVm e -> all.add(e.entryVm().id());
            case RoutingDecision.NoRoom n -> {}
            case RoutingDecision.NoUpstream n -> {}
        }
        return all;
    }

    private Step onAttempt(AttemptResult result, RetryTools tools, Instant now) {
        return switch (result) {
            case AttemptResult.Answered a ->
                    done(new FlowAction.PassOn(), new FlowAction.Completed());
            case AttemptResult.NotRun n ->
                    n.code() == ErrorCode.TEAM_LIMIT
                            ? giveUp(n.code(), tools)
                            : retry(n.code(), tools, now);
            case AttemptResult.Lost l -> {
                RequestFlow doubtful =
                        new RequestFlow(
                                facts, phase, attempts, Optional.of(l.code()), claim, tried);
                yield facts.idempotent()
                        ? doubtful.retry(l.code(), tools, now)
                        : doubtful.giveUp(l.code(), tools);
            }
        };
    }

    private Step retry(ErrorCode code, RetryTools tools, Instant now) {
        RetryPolicy.RetryDecision decision =
                tools.policy()
                        .afterFailure(
                                attempts, facts.deadline(), tools.budget(), tools.random(), now);
        return switch (decision) {
            case RetryPolicy.GiveUp g -> giveUp(code, tools);
            case RetryPolicy.Retry r ->
                    new Step(to(Phase.DELAYED), List.of(new FlowAction.Delay(r.delay())));
        };
    }

    private Step giveUp(ErrorCode code, RetryTools tools) {
        if (lost.isEmpty()) {
            return refuse(code, tools);
        }
        ErrorCode why = lost.get();
        return done(mayHaveRun(why, Optional.empty()), new FlowAction.Unknown(why));
    }

    private Step refuse(ErrorCode code, RetryTools tools) {
        boolean useful = code != ErrorCode.IDENTIFIER_REUSED && code != ErrorCode.DEADLINE_PASSED;
        Optional<Duration> retryAfter = useful ? Optional.of(retryAfter(tools)) : Optional.empty();
        Verdict verdict = new Verdict.NotRun(code, code.sentence(), retryAfter);
        return done(new FlowAction.Fail(verdict, retryAfter), new FlowAction.NeverRan());
    }

    private static Duration retryAfter(RetryTools tools) {
        int spread = tools.random().nextInt(RETRY_AFTER_SPREAD_SECONDS);
        return Duration.ofSeconds((long) LEAST_RETRY_AFTER_SECONDS + spread);
    }

    private static FlowAction mayHaveRun(ErrorCode code, Optional<Duration> retryAfter) {
        return new FlowAction.Fail(new Verdict.MayHaveRun(code, code.sentence()), retryAfter);
    }

    private Step choose(RetryTools tools, Instant now) {
        if (isLate(facts, tools, now)) {
            return giveUp(ErrorCode.DEADLINE_PASSED, tools);
        }
        return new Step(to(Phase.CHOOSING), List.of(new FlowAction.Choose(tried)));
    }

    private Step done(FlowAction answer) {
        return new Step(to(Phase.DONE), List.of(answer));
    }

    private Step done(FlowAction answer, FlowAction.Ending ending) {
        List<FlowAction> actions = new ArrayList<>();
        claim.ifPresent(c -> actions.add(new FlowAction.EndClaim(c, ending)));
        actions.add(answer);
        return new Step(to(Phase.DONE), actions);
    }

    private RequestFlow to(Phase next) {
        return new RequestFlow(facts, next, attempts, lost, claim, tried);
    }

    private static boolean isLate(RequestFacts facts, RetryTools tools, Instant now) {
        return now.plus(tools.policy().minTimeLeft()).isAfter(facts.deadline());
    }

    /** What a request waits for. */
    public enum Phase {
        /** The answer to its claim. */
        CLAIMING,
        /** A target. */
        CHOOSING,
        /** The end of an attempt. */
        SENDING,
        /** The delay before the next attempt. */
        DELAYED,
        /** Nothing; it was answered. */
        DONE
    }

    /**
     * The next state and what to do.
     *
     * @param flow the next state
     * @param actions what to do, in order
     */
    public record Step(RequestFlow flow, List<FlowAction> actions) {
        public Step {
            Checks.notNull("flow", flow);
            actions = List.copyOf(actions);
        }
    }
}
