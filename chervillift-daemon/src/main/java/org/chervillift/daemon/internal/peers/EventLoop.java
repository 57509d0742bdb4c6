package org.chervillift.daemon.internal.peers;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The thread that decisions are taken on.
 *
 * @param scheduler its clock and timers
 * @param executor runs a task on it, from any thread
 * @param random the source of jitter
 */
public record EventLoop(Scheduler scheduler, Executor executor, RandomGenerator random) {
    public EventLoop {
        Checks.notNull("scheduler", scheduler);
        Checks.notNull("executor", executor);
        Checks.notNull("random", random);
    }
}
