package org.chervillift.daemon.internal.peers;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The single-threaded event loop that runs the membership logic.
 *
 * @param scheduler the clock and timers of the loop
 * @param executor runs a task on the loop; may be called from any thread
 * @param random the random source for jitter
 */
public record EventLoop(Scheduler scheduler, Executor executor, RandomGenerator random) {
    public EventLoop {
        Checks.notNull("scheduler", scheduler);
        Checks.notNull("executor", executor);
        Checks.notNull("random", random);
    }
}
