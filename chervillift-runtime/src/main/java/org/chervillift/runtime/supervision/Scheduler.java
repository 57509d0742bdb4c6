package org.chervillift.runtime.supervision;

import java.time.Duration;
import java.time.Instant;

/**
 * The clock and the timers of one thread.
 *
 * <p>Tests put virtual time in its place. All tasks run on the same thread, one at a time.
 */
public interface Scheduler {

    /** Returns the present time, which never goes back while the process lives. */
    Instant now();

    /** Runs a task once after a delay. */
    Cancellation schedule(Duration delay, Runnable task);

    /** Withdraws a task that has not run yet. */
    @FunctionalInterface
    interface Cancellation {
        /** Withdraws the task; does nothing if it has run. */
        void cancel();
    }
}
