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
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.core.routing.UpstreamResult;

/** Executes the request flow of one request. Confined to one thread. */
final class RequestExecution {

    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final int MAX_STORED_BODY_BYTES = 4_096;

    private final RequestServices services;
    private final RequestFacts facts;
    private final OutgoingRequest request;
    private final Consumer<CallerResponse> onResponse;
    private RequestFlow flow;
    private UpstreamResponse reply;

    RequestExecution(
            RequestServices services,
            RequestFacts facts,
            OutgoingRequest request,
            Consumer<CallerResponse> onResponse) {
        this.services = services;
        this.facts = facts;
        this.request = request;
        this.onResponse = onResponse;
    }

    void start() {
        applyStep(RequestFlow.start(facts, services.retry(), now()));
    }

    private Instant now() {
        return services.scheduler().now();
    }

    private void handle(FlowEvent event) {
        applyStep(flow.handle(event, services.retry(), now()));
    }

    private void applyStep(RequestFlow.Step step) {
        flow = step.flow();
        step.actions().forEach(this::execute);
    }

    private void execute(FlowAction action) {
        switch (action) {
            case FlowAction.RequestClaim a ->
                    services.claims()
                            .acquire(a.key(), facts.digest(), claimDeadline(), this::handle);
            case FlowAction.ChooseTarget c ->
                    handle(new FlowEvent.TargetChosen(chooseTarget(c.triedTargets())));
            case FlowAction.Send s -> send(s);
            case FlowAction.Delay d ->
                    services.scheduler()
                            .schedule(d.delay(), () -> handle(new FlowEvent.DelayElapsed()));
            case FlowAction.CompleteClaim e ->
                    services.claims().finish(e.claim(), claimOutcome(e.ending()));
            case FlowAction.ForwardAnswer p ->
                    onResponse.accept(new CallerResponse.FromUpstream(reply));
            case FlowAction.Replay r -> onResponse.accept(replayedResponse(r.answer()));
            case FlowAction.AnswerNotStored n ->
                    onResponse.accept(
                            new CallerResponse.Generated(
                                    new Verdict.Completed(),
                                    ErrorCode.ANSWER_NOT_KEPT,
                                    Optional.empty(),
                                    CallerResponse.EarlierCalls.UNKNOWN));
            case FlowAction.Fail f -> onResponse.accept(failureResponse(f));
        }
    }

    private Instant claimDeadline() {
        Instant latest = now().plus(MAX_CLAIM_WAIT);
        return latest.isBefore(facts.deadline()) ? latest : facts.deadline();
    }

    private RoutingDecision chooseTarget(Set<String> tried) {
        RoutingDecision chosen =
                services.router().choose(facts.pool(), tried, services.retry().random(), now());
        boolean unavailable =
                chosen instanceof RoutingDecision.NoRoom
                        || chosen instanceof RoutingDecision.NoUpstream;
        if (!unavailable || facts.relayed()) {
            return chosen;
        }
        return services.relays()
                .choose(facts.pool(), tried, services.retry().random(), now())
                .<RoutingDecision>map(RoutingDecision.ToEntryVm::new)
                .orElse(chosen);
    }

    private void send(FlowAction.Send action) {
        if (action.target() instanceof RoutingDecision.ToUpstream u
                && !services.router().mayStart(u.upstream().id(), now())) {
            onAttemptEnded(action, notSentResult());
            return;
        }
        services.sender()
                .send(
                        action.target(),
                        request,
                        action.freshConnection(),
                        attemptDeadline(),
                        result -> onAttemptEnded(action, result));
    }

    /** An attempt that may be retried uses at most half of the remaining time. */
    private Instant attemptDeadline() {
        boolean mayRetry = flow.attempts() < services.retry().policy().mostAttempts();
        if (!facts.idempotent() || !mayRetry) {
            return facts.deadline();
        }
        Duration remaining = Duration.between(now(), facts.deadline());
        return now().plus(remaining.dividedBy(2));
    }

    private static SendResult notSentResult() {
        return new SendResult.NotRun(SendResult.Reason.NOT_SENT, ErrorCode.NO_UPSTREAM);
    }

    private void onAttemptEnded(FlowAction.Send action, SendResult result) {
        switch (action.target()) {
            case RoutingDecision.ToUpstream u ->
                    services.router()
                            .attemptEnded(
                                    u.upstream().id(),
                                    toAttemptEnd(result),
                                    services.retry().random(),
                                    now());
            case RoutingDecision.ToEntryVm e ->
                    services.relays()
                            .relayEnded(
                                    e.entryVm().id(),
                                    facts.pool(),
                                    result instanceof SendResult.Replied,
                                    now());
            case RoutingDecision.NoRoom n -> {}
            case RoutingDecision.NoUpstream n -> {}
        }
        handle(new FlowEvent.AttemptEnded(toAttemptResult(result)));
    }

    private AttemptResult toAttemptResult(SendResult result) {
        return switch (result) {
            case SendResult.Replied r -> {
                reply = r.reply();
                yield new AttemptResult.Answered();
            }
            case SendResult.NotRun n -> new AttemptResult.NotRun(n.code());
            case SendResult.MayHaveRun l -> new AttemptResult.MayHaveRun(l.code());
        };
    }

    private UpstreamResult toAttemptEnd(SendResult result) {
        return switch (result) {
            case SendResult.Replied r ->
                    r.reply().isServerError()
                            ? new UpstreamResult.ServerFailure()
                            : new UpstreamResult.Succeeded();
            case SendResult.MayHaveRun l -> new UpstreamResult.ResponseLost(facts.deadline());
            case SendResult.NotRun n ->
                    switch (n.reason()) {
                        case UNREACHABLE -> new UpstreamResult.Unreachable();
                        case BUSY -> new UpstreamResult.Busy();
                        case LEAVING -> new UpstreamResult.Leaving();
                        case REFUSED, NOT_SENT -> new UpstreamResult.NotSent();
                    };
        };
    }

    private Optional<ClaimOutcome> claimOutcome(FlowAction.Ending ending) {
        return switch (ending) {
            case FlowAction.NeverRan n -> Optional.empty();
            case FlowAction.Unknown u -> Optional.of(new ClaimOutcome.Unknown(u.code()));
            case FlowAction.Completed c ->
                    Optional.of(
                            reply.body().length > MAX_STORED_BODY_BYTES
                                    ? new ClaimOutcome.AnswerNotStored(reply.status())
                                    : new ClaimOutcome.Answered(
                                            reply.status(),
                                            reply.headers().stream().map(Header::toString).toList(),
                                            Base64.getEncoder().encodeToString(reply.body())));
        };
    }

    private static CallerResponse replayedResponse(ClaimOutcome.Answered answer) {
        return new CallerResponse.FromUpstream(
                new UpstreamResponse(
                        answer.status(),
                        answer.headers().stream().map(Header::parse).toList(),
                        Base64.getDecoder().decode(answer.bodyBase64())));
    }

    private CallerResponse.EarlierCalls earlierCalls() {
        if (facts.claimKey().isEmpty()) {
            return CallerResponse.EarlierCalls.NOT_ASKED;
        }
        return flow.claim().isPresent()
                ? CallerResponse.EarlierCalls.NONE_RAN
                : CallerResponse.EarlierCalls.UNKNOWN;
    }

    private CallerResponse failureResponse(FlowAction.Fail fail) {
        ErrorCode code =
                switch (fail.verdict()) {
                    case Verdict.NotRun n -> n.code();
                    case Verdict.MayHaveRun m -> m.code();
                    case Verdict.Completed c -> ErrorCode.INTERNAL;
                };
        return new CallerResponse.Generated(
                fail.verdict(), code, fail.retryAfter(), earlierCalls());
    }
}
