package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.core.tasks.AdviceRequest;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Asks the advice service, one call at a time, about the steps that wait for it. */
final class AdviceAsker {

    private static final Duration RETRY = Duration.ofMillis(200);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onAnswer;
    private boolean asking;
    private boolean stopped;

    AdviceAsker(HolderContext context, TaskScheduler board, Runnable onAnswer) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.onAnswer = Checks.notNull("onAnswer", onAnswer);
    }

    void stop() {
        stopped = true;
    }

    /** Asks the next question, unless a call is under way. */
    void poke() {
        Optional<PlacementAdvice> service = context.advice();
        if (asking || stopped || service.isEmpty()) {
            return;
        }
        board.nextAdviceRequest(context.now()).ifPresent(q -> ask(service.get(), q));
    }

    private void ask(PlacementAdvice service, AdviceRequest question) {
        asking = true;
        service.ask(question.job(), question.occurrence(), question.step(), question.workers())
                .whenComplete(
                        (allowed, fault) -> {
                            if (stopped) {
                                return;
                            }
                            if (fault != null) {
                                EventLog.log(
                                        TaskEvent.ADVICE_FAILED,
                                        Field.of("job", question.job()),
                                        Field.of("why", fault.getMessage()));
                                context.scheduler().schedule(RETRY, this::again);
                                return;
                            }
                            asking = false;
                            board.applyAdvice(
                                    question,
                                    allowed.tickets(),
                                    context.now() + allowed.validity().toMillis());
                            onAnswer.run();
                            poke();
                        });
    }

    private void again() {
        asking = false;
        poke();
    }
}
