package org.chervillift.daemon.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.requests.AttemptResult;
import org.chervillift.core.requests.FlowAction;
import org.chervillift.core.requests.FlowEvent;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.requests.RequestFlow;
import org.chervillift.core.routing.AttemptEnd;
import org.chervillift.core.routing.Choice;

/** Carries out the course of one request. Confined to one thread. */
final class RequestCourse {

    private static final Duration LONGEST_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final int MOST_KEPT_BYTES = 4_096;

    private final RequestTools tools;
    private final RequestFacts facts;
    private final Outgoing request;
    private final Consumer<CallerAnswer> onAnswer;
    private RequestFlow flow;
    private Reply reply;

    RequestCourse(
            RequestTools tools,
            RequestFacts facts,
            Outgoing request,
            Consumer<CallerAnswer> onAnswer) {
        this.tools = tools;
        this.facts = facts;
        this.request = request;
        this.onAnswer = onAnswer;
    }

    void start() {
        apply(RequestFlow.start(facts, tools.retry(), now()));
    }

    private Instant now() {
        return tools.scheduler().now();
    }

    private void on(FlowEvent event) {
        apply(flow.handle(event, tools.retry(), now()));
    }

    private void apply(RequestFlow.Step step) {
        flow = step.flow();
        step.actions().forEach(this::carryOut);
    }

    private void carryOut(FlowAction action) {
        switch (action) {
            case FlowAction.RequestClaim a ->
                    tools.claims().ask(a.key(), facts.digest(), claimBy(), this::on);
            case FlowAction.ChooseTarget c ->
                    on(new FlowEvent.TargetChosen(choose(c.triedTargets())));
            case FlowAction.Send s -> send(s);
            case FlowAction.Delay d ->
                    tools.scheduler().schedule(d.delay(), () -> on(new FlowEvent.DelayElapsed()));
            case FlowAction.CompleteClaim e -> tools.claims().end(e.claim(), outcome(e.ending()));
            case FlowAction.ForwardAnswer p -> onAnswer.accept(new CallerAnswer.Passed(reply));
            case FlowAction.Replay r -> onAnswer.accept(replay(r.answer()));
            case FlowAction.AnswerNotStored n ->
                    onAnswer.accept(
                            new CallerAnswer.Said(
                                    new Verdict.Completed(),
                                    ErrorCode.ANSWER_NOT_KEPT,
                                    Optional.empty(),
                                    CallerAnswer.EarlierCalls.UNKNOWN));
            case FlowAction.Fail f -> onAnswer.accept(failure(f));
        }
    }

    private Instant claimBy() {
        Instant most = now().plus(LONGEST_CLAIM_WAIT);
        return most.isBefore(facts.deadline()) ? most : facts.deadline();
    }

    private Choice choose(Set<String> tried) {
        Choice own = tools.router().choose(facts.pool(), tried, tools.retry().random(), now());
        boolean goesOn = own instanceof Choice.NoRoom || own instanceof Choice.NoUpstream;
        if (!goesOn || facts.relayed()) {
            return own;
        }
        return tools.relays()
                .choose(facts.pool(), tried, tools.retry().random(), now())
                .<Choice>map(Choice.ToEntryVm::new)
                .orElse(own);
    }

    private void send(FlowAction.Send action) {
        if (action.target() instanceof Choice.ToUpstream u
                && !tools.router().mayStart(u.upstream().id(), now())) {
            ended(action, unused());
            return;
        }
        tools.sender()
                .send(
                        action.target(),
                        request,
                        action.freshConnection(),
                        attemptBound(),
                        result -> ended(action, result));
    }

    /** An attempt that may be made again leaves half of the time for that. */
    private Instant attemptBound() {
        boolean again = flow.attempts() < tools.retry().policy().mostAttempts();
        if (!facts.idempotent() || !again) {
            return facts.deadline();
        }
        Duration left = Duration.between(now(), facts.deadline());
        return now().plus(left.dividedBy(2));
    }

    private static SendResult unused() {
        return new SendResult.NotRun(SendResult.Reason.UNUSED, ErrorCode.NO_UPSTREAM);
    }

    private void ended(FlowAction.Send action, SendResult result) {
        switch (action.target()) {
            case Choice.ToUpstream u ->
                    tools.router()
                            .ended(
                                    u.upstream().id(),
                                    attemptEnd(result),
                                    tools.retry().random(),
                                    now());
            case Choice.ToEntryVm e ->
                    tools.relays()
                            .ended(
                                    e.entryVm().id(),
                                    facts.pool(),
                                    result instanceof SendResult.Replied,
                                    now());
            case Choice.NoRoom n -> {}
            case Choice.NoUpstream n -> {}
        }
        on(new FlowEvent.AttemptEnded(attemptResult(result)));
    }

    private AttemptResult attemptResult(SendResult result) {
        return switch (result) {
            case SendResult.Replied r -> {
                reply = r.reply();
                yield new AttemptResult.Answered();
            }
            case SendResult.NotRun n -> new AttemptResult.NotRun(n.code());
            case SendResult.Lost l -> new AttemptResult.MayHaveRun(l.code());
        };
    }

    private AttemptEnd attemptEnd(SendResult result) {
        return switch (result) {
            case SendResult.Replied r ->
                    r.reply().isServerFailure()
                            ? new AttemptEnd.ServerFailure()
                            : new AttemptEnd.Good();
            case SendResult.Lost l -> new AttemptEnd.Lost(facts.deadline());
            case SendResult.NotRun n ->
                    switch (n.reason()) {
                        case UNREACHABLE -> new AttemptEnd.Unreachable();
                        case BUSY -> new AttemptEnd.Busy();
                        case LEAVING -> new AttemptEnd.Leaving();
                        case REFUSED, UNUSED -> new AttemptEnd.Unused();
                    };
        };
    }

    private Optional<ClaimOutcome> outcome(FlowAction.Ending ending) {
        return switch (ending) {
            case FlowAction.NeverRan n -> Optional.empty();
            case FlowAction.Unknown u -> Optional.of(new ClaimOutcome.Unknown(u.code()));
            case FlowAction.Completed c ->
                    Optional.of(
                            reply.body().length > MOST_KEPT_BYTES
                                    ? new ClaimOutcome.AnswerNotStored(reply.status())
                                    : new ClaimOutcome.Answered(
                                            reply.status(),
                                            reply.headers().stream().map(Header::toString).toList(),
                                            Base64.getEncoder().encodeToString(reply.body())));
        };
    }

    private static CallerAnswer replay(ClaimOutcome.Answered answer) {
        return new CallerAnswer.Passed(
                new Reply(
                        answer.status(),
                        answer.headers().stream().map(Header::parse).toList(),
                        Base64.getDecoder().decode(answer.bodyBase64())));
    }

    private CallerAnswer.EarlierCalls earlier() {
        if (facts.claimKey().isEmpty()) {
            return CallerAnswer.EarlierCalls.NOT_ASKED;
        }
        return flow.claim().isPresent()
                ? CallerAnswer.EarlierCalls.NONE_RAN
                : CallerAnswer.EarlierCalls.UNKNOWN;
    }

    private CallerAnswer failure(FlowAction.Fail fail) {
        ErrorCode code =
                switch (fail.verdict()) {
                    case Verdict.NotRun n -> n.code();
                    case Verdict.MayHaveRun m -> m.code();
                    case Verdict.Completed c -> ErrorCode.INTERNAL;
                };
        return new CallerAnswer.Said(fail.verdict(), code, fail.retryAfter(), earlier());
    }
}
