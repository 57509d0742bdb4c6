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
import org.chervillift.core.claims.Outcome;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.core.routing.Upstream;

class RequestFlowTest {

    private static final ClaimKey KEY = ClaimKey.ofTeam("alpha", "r1");
    private static final int MOST_STEPS = 40;

    private final List<FlowAction> done = new ArrayList<>();
    private int answers;
    private int lostAttempts;
    private int sends;

    @Property(seed = "21", tries = 1_000)
    void answersOnceTruthfullyAndSendsAgainOnlyWhatDidNotRun(
            @ForAll boolean idempotent, @ForAll boolean identified, @ForAll long seed) {
        Random random = new Random(seed);
        RetryTools tools = new RetryTools(RetryPolicy.DEFAULT, new RetryBudget(0.1, 5), random);
        Instant now = Instant.EPOCH;
        RequestFacts facts = facts(idempotent, identified, now.plusMillis(random.nextInt(600)));
        clear();

        RequestFlow.Step step = RequestFlow.start(facts, tools, now);
        for (int i = 0; i < MOST_STEPS; i++) {
            apply(step, idempotent);
            now = now.plusMillis(random.nextInt(60));
            step = step.flow().on(randomEvent(step.flow(), random, now), tools, now);
        }

        assertThat(answers).isEqualTo(1);
        assertThat(step.flow().phase()).isEqualTo(RequestFlow.Phase.DONE);
        assertThat(sends).isLessThanOrEqualTo(RetryPolicy.DEFAULT.mostAttempts());
    }

    private void clear() {
        done.clear();
        answers = 0;
        lostAttempts = 0;
        sends = 0;
    }

    private void apply(RequestFlow.Step step, boolean idempotent) {
        lostAttempts = step.flow().lost().isPresent() ? 1 : lostAttempts;
        for (FlowAction a : step.actions()) {
            switch (a) {
                case FlowAction.Send s -> {
                    sends++;
                    assertThat(idempotent || lostAttempts == 0).as("sent after a loss").isTrue();
                    assertThat(idempotent || s.freshConnection()).as("fresh").isTrue();
                }
                case FlowAction.Fail f -> {
                    answers++;
                    if (f.verdict() instanceof Verdict.NotRun) {
                        assertThat(lostAttempts).as("not-run said after a loss").isZero();
                    }
                }
                case FlowAction.PassOn p -> answers++;
                case FlowAction.Replay r -> answers++;
                case FlowAction.AnswerNotKept n -> answers++;
                default -> done.add(a);
            }
        }
        assertThat(answers).isLessThanOrEqualTo(1);
    }

    private static RequestFacts facts(boolean idempotent, boolean identified, Instant deadline) {
        Optional<ClaimKey> key = identified && !idempotent ? Optional.of(KEY) : Optional.empty();
        return new RequestFacts("pool", idempotent, key, "d", false, deadline);
    }

    private static FlowEvent randomEvent(RequestFlow flow, Random random, Instant now) {
        return switch (flow.phase()) {
            case CLAIMING -> randomClaim(random, now);
            case CHOOSING -> new FlowEvent.Chosen(randomChoice(random));
            case SENDING -> new FlowEvent.AttemptEnded(randomResult(random));
            case DELAYED, DONE ->
                    random.nextBoolean()
                            ? new FlowEvent.DelayOver()
                            : new FlowEvent.AttemptEnded(randomResult(random));
        };
    }

    private static FlowEvent randomClaim(Random random, Instant now) {
        Claim claim = new Claim(KEY, "d", "vm", now);
        return switch (random.nextInt(8)) {
            case 0 -> new FlowEvent.ClaimAnswered(new ClaimAnswer.Unavailable(), Optional.empty());
            case 1 -> new FlowEvent.ClaimAnswered(new ClaimAnswer.OtherContent(), Optional.empty());
            case 2 ->
                    new FlowEvent.ClaimAnswered(
                            new ClaimAnswer.Unended(Optional.empty()), Optional.empty());
            case 3 ->
                    new FlowEvent.ClaimAnswered(
                            new ClaimAnswer.Ended(new Outcome.AnswerNotKept(200)),
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
            default -> new AttemptResult.Lost(ErrorCode.UPSTREAM_FAILED);
        };
    }
}
