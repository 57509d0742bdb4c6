package org.chervillift.bench.surge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.chervillift.runtime.supervision.Scheduler;

/** An upstream that runs so many requests at once, and lets others wait in order. */
final class SurgeUpstream {

    private final Scheduler scheduler;
    private final int slots;
    private final boolean there;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private int running;

    SurgeUpstream(Scheduler scheduler, int slots, boolean there) {
        this.scheduler = scheduler;
        this.slots = slots;
        this.there = there;
    }

    boolean isThere() {
        return there;
    }

    void run(int workMillis, Runnable onAnswer) {
        Runnable start =
                () -> {
                    running++;
                    scheduler.schedule(
                            Duration.ofMillis(workMillis),
                            () -> {
                                running--;
                                onAnswer.run();
                                startNext();
                            });
                };
        if (running < slots) {
            start.run();
        } else {
            waiting.add(start);
        }
    }

    private void startNext() {
        if (running < slots && !waiting.isEmpty()) {
            waiting.poll().run();
        }
    }
}
