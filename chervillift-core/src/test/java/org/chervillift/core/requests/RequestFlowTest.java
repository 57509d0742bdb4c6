package org.chervillift.core.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAnswer;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.core.routing.Upstream;
import org.junit.jupiter.api.Test;

class RequestFlowTest {

    private static final ClaimKey KEY = ClaimKey.ofTeam("alpha", "r1");
    private static final int MAX_STEPS = 40;

    private final List<FlowAction> otherActions = new ArrayList<>();
    private int answers;
    private int ambiguousAttempts;
    private int sends;

    @Property(seed = "21", tries = 1_000)
    void answersOnceAndRetriesOnlyWhatDidNotRun(
            @ForAll boolean idempotent, @ForAll boolean hasIdentifier, @ForAll long seed) {
        Random random = new Random(seed);
        RetryContext retryContext =
                new RetryContext(RetryPolicy.DEFAULT, new RetryBudget(0.1, 5), random);
        Instant now = Instant.EPOCH;
        RequestFacts facts = facts(idempotent, hasIdentifier, now.plusMillis(random.nextInt(600)));
        reset();

        RequestFlow.Step step = RequestFlow.start(facts, retryContext, now);
        for (int i = 0; i < MAX_STEPS; i++) {
            apply(step, idempotent);
            now = now.plusMillis(random.nextInt(60));
            step = step.flow().handle(randomEvent(step.flow(), random, now), retryContext, now);
        }

        assertThat(answers).isEqualTo(1);
        assertThat(step.flow().phase()).isEqualTo(RequestFlow.Phase.DONE);
        assertThat(sends).isLessThanOrEqualTo(RetryPolicy.DEFAULT.mostAttempts());
    }

    @Test
    void aRelayedRequestThatCrashesItsUpstreamIsNotSentToAnotherOneByTheSecondEntryVm() {
        RetryContext retryContext =
                new RetryContext(RetryPolicy.DEFAULT, new RetryBudget(0.1, 5), new Random(1));
        RequestFacts relayed =
                new RequestFacts(
                        "pool", true, Optional.empty(), "d", true, Instant.EPOCH.plusSeconds(5));
        reset();

        RequestFlow.Step step = RequestFlow.start(relayed, retryContext, Instant.EPOCH);
        apply(step, true);
        Upstream upstream = new Upstream("u1", "pool", "dc", "127.0.0.1:1", 8, false);
        FlowEvent chosen = new FlowEvent.TargetChosen(new RoutingDecision.ToUpstream(upstream));
        step = step.flow().handle(chosen, retryContext, Instant.EPOCH);
        apply(step, true);
        AttemptResult lost = new AttemptResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
        step = step.flow().handle(new FlowEvent.AttemptEnded(lost), retryContext, Instant.EPOCH);
        apply(step, true);

        assertThat(sends).isEqualTo(1);
        assertThat(answers).isEqualTo(1);
        assertThat(step.flow().phase()).isEqualTo(RequestFlow.Phase.DONE);
    }

    private void reset() {
        otherActions.clear();
        answers = 0;
        ambiguousAttempts = 0;
        sends = 0;
    }

    private void apply(RequestFlow.Step step, boolean idempotent) {
        ambiguousAttempts = step.flow().lost().isPresent() ? 1 : ambiguousAttempts;
        for (FlowAction a : step.actions()) {
            switch (a) {
                case FlowAction.Send s -> {
                    sends++;
                    assertThat(idempotent || ambiguousAttempts == 0)
                            .as("sent again after it may have run")
                            .isTrue();
                    assertThat(idempotent || s.freshConnection()).as("fresh").isTrue();
                }
                case FlowAction.Fail f -> {
                    answers++;
                    if (f.verdict() instanceof Verdict.NotRun) {
                        assertThat(ambiguousAttempts)
                                .as("reported as not run although it may have run")
                                .isZero();
                    }
                }
                case FlowAction.ForwardAnswer f -> answers++;
                case FlowAction.Replay r -> answers++;
                case FlowAction.AnswerNotStored n -> answers++;
                default -> otherActions.add(a);
            }
        }
        assertThat(answers).isLessThanOrEqualTo(1);
    }

    private static RequestFacts facts(boolean idempotent, boolean hasIdentifier, Instant deadline) {
        Optional<ClaimKey> key = hasIdentifier && !idempotent ? Optional.of(KEY) : Optional.empty();
        return new RequestFacts("pool", idempotent, key, "d", false, deadline);
    }

    private static FlowEvent randomEvent(RequestFlow flow, Random random, Instant now) {
        return switch (flow.phase()) {
            case CLAIMING -> randomClaim(random, now);
            case CHOOSING -> new FlowEvent.TargetChosen(randomChoice(random));
            case SENDING -> new FlowEvent.AttemptEnded(randomResult(random));
            case DELAYED, DONE ->
                    random.nextBoolean()
                            ? new FlowEvent.DelayElapsed()
                            : new FlowEvent.AttemptEnded(randomResult(random));
        };
    }

    private static FlowEvent randomClaim(Random random, Instant now) {
        Claim claim = new Claim(KEY, "d", "vm", now);
        return switch (random.nextInt(8)) {
            case 0 -> new FlowEvent.ClaimAnswered(new ClaimAnswer.Unavailable(), Optional.empty());
            case 1 ->
                    new FlowEvent.ClaimAnswered(
                            new ClaimAnswer.ContentMismatch(), Optional.empty());
            case 2 ->
                    new FlowEvent.ClaimAnswered(
                            new ClaimAnswer.NotCompleted(Optional.empty()), Optional.empty());
            case 3 ->
                    new FlowEvent.ClaimAnswered(
                            new ClaimAnswer.AlreadyCompleted(new ClaimOutcome.AnswerNotStored(200)),
                            Optional.empty());
            default -> new FlowEvent.ClaimAnswered(new ClaimAnswer.Granted(), Optional.of(claim));
        };
    }

    private static RoutingDecision randomChoice(Random random) {
        Upstream u = new Upstream("u" + random.nextInt(3), "pool", "dc", "127.0.0.1:1", 8, false);
        return switch (random.nextInt(8)) {
            case 0 -> new RoutingDecision.NoRoom(Duration.ofSeconds(1));
            case 1 -> new RoutingDecision.NoUpstream();
            default -> new RoutingDecision.ToUpstream(u);
        };
    }

    private static AttemptResult randomResult(Random random) {
        return switch (random.nextInt(3)) {
            case 0 -> new AttemptResult.Answered();
            case 1 -> new AttemptResult.NotRun(ErrorCode.NO_ROOM);
            default -> new AttemptResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
        };
    }
}
