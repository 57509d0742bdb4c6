package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import org.chervillift.runtime.supervision.Scheduler;

/** The timers of one simulated process, which can be frozen and killed. */
final class SimScheduler implements Scheduler {

    private final Scheduler base;
    private Instant frozenUntil = Instant.EPOCH;
    private boolean dead;

    SimScheduler(Scheduler base) {
        this.base = base;
    }

    /** Lets nothing of the process run for a time; what falls due runs afterwards. */
    void freeze(Duration time) {
        frozenUntil = now().plus(time);
    }

    /** Lets nothing of the process run any more. */
    void kill() {
        dead = true;
    }

    @Override
    public Instant now() {
        return base.now();
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable task) {
        return base.schedule(delay, () -> runUnlessFrozen(task));
    }

    private void runUnlessFrozen(Runnable task) {
        if (dead) {
            return;
        }
        if (now().isBefore(frozenUntil)) {
            base.schedule(Duration.between(now(), frozenUntil), () -> runUnlessFrozen(task));
            return;
        }
        task.run();
    }
}
