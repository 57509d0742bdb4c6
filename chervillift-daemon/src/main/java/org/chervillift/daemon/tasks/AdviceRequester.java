package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.core.tasks.AdvicePlanner;
import org.chervillift.core.tasks.AdviceRequest;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Requests placement advice for the steps that wait for it, one call at a time. */
final class AdviceRequester {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final HolderContext context;
    private final AdvicePlanner advice;
    private final Runnable onAnswer;
    private boolean requestInProgress;
    private boolean stopped;

    AdviceRequester(HolderContext context, AdvicePlanner advice, Runnable onAnswer) {
        this.context = Checks.notNull("context", context);
        this.advice = Checks.notNull("advice", advice);
        this.onAnswer = Checks.notNull("onAnswer", onAnswer);
    }

    void stop() {
        stopped = true;
    }

    /** Sends the next request, unless one is in progress. */
    void askNext() {
        Optional<PlacementAdvice> service = context.advice();
        if (requestInProgress || stopped || service.isEmpty()) {
            return;
        }
        advice.nextRequest(context.nowMillis()).ifPresent(q -> ask(service.get(), q));
    }

    private void ask(PlacementAdvice service, AdviceRequest question) {
        requestInProgress = true;
        context.supervision()
                .whenAnswered(
                        "advice",
                        service.ask(
                                question.job(),
                                question.occurrence(),
                                question.step(),
                                question.workers()),
                        (allowed, fault) -> {
                            if (stopped) {
                                return;
                            }
                            if (fault != null) {
                                EventLog.log(
                                        TaskEvent.ADVICE_FAILED,
                                        Field.of("job", question.job()),
                                        Field.of("why", fault.getMessage()));
                                onFailure(question);
                                return;
                            }
                            long now = context.nowMillis();
                            long validUntil = now + allowed.validity().toMillis();
                            advice.applyAnswer(question, allowed.tickets(), validUntil, now);
                            onAnswer.run();
                            retry();
                        },
                        () -> onFailure(question));
    }

    private void onFailure(AdviceRequest question) {
        advice.recordFailure(question, context.nowMillis());
        context.scheduler().schedule(RETRY_DELAY, this::retry);
    }

    private void retry() {
        requestInProgress = false;
        askNext();
    }
}
