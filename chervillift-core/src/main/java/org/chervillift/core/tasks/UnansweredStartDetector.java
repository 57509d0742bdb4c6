package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.function.Consumer;

/**
 * Detects runs whose order to start was never answered, or was lost before it was sent.
 *
 * <p>Such a run counts as uncertain: it is looked up on its worker, and stopped if it is not there.
 * It would otherwise take the worker's room for ever, and its task would wait for ever.
 */
final class UnansweredStartDetector {

    /** Longer than any call to a worker takes. */
    private static final long ANSWER_TIMEOUT_MILLIS = 3_000;

    private final Consumer<SchedulerEvent> events;

    UnansweredStartDetector(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    void check(Collection<WorkerRecord> workers, long now) {
        for (WorkerRecord worker : workers) {
            worker.runs().stream()
                    .filter(r -> isOverdue(r, now))
                    .forEach(r -> markUncertain(r, now));
        }
    }

    private static boolean isOverdue(Run run, long now) {
        return run.phase() == Run.Phase.STARTING
                && !run.isStartHeld()
                && now - run.startSentAt() >= ANSWER_TIMEOUT_MILLIS;
    }

    private void markUncertain(Run run, long now) {
        events.accept(SchedulerEvent.of(SchedulerEvent.Kind.START_NOT_TAKEN, run, "answer=none"));
        run.enterPhase(Run.Phase.UNCERTAIN, now);
    }
}
