package org.chervillift.http;

import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.time.Instant;
import org.chervillift.api.Checks;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The scheduler of an event loop.
 *
 * <p>Its time starts from the wall clock and then follows the monotonic clock, so it never goes
 * back, and it jumps over a pause of the process.
 */
public final class ReactorScheduler implements Scheduler {

    private final Reactor reactor;
    private final Instant startTime = Instant.now();
    private final long startNanos = System.nanoTime();

    /** Creates the scheduler of an event loop. */
    public ReactorScheduler(Reactor reactor) {
        this.reactor = Checks.notNull("reactor", reactor);
    }

    @Override
    public Instant now() {
        return startTime.plusNanos(System.nanoTime() - startNanos);
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable task) {
        long at = reactor.currentTimeMillis() + delay.toMillis();
        ScheduledRunnable scheduled = ScheduledRunnable.of(at, task);
        reactor.scheduleBackground(scheduled);
        return scheduled::cancel;
    }
}
