package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Runs requests and counts them by team, whatever becomes of the entry VM that sent them. */
final class FakeUpstreams {

    private final ManualScheduler scheduler;
    private final Map<String, Integer> running = new HashMap<>();
    private long starts;
    private int most;

    FakeUpstreams(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Starts a run; {@code allowed} is the most that may run with it. */
    void start(String team, int allowed, Duration length, Runnable onEnd) {
        int now = running.merge(team, 1, Integer::sum);
        starts++;
        most = Math.max(most, now);
        if (now > allowed) {
            throw new InvariantBrokenException(
                    "Team %s has %d running at the upstreams; %d are allowed."
                            .formatted(team, now, allowed));
        }
        scheduler.schedule(
                length,
                () -> {
                    running.merge(team, -1, Integer::sum);
                    onEnd.run();
                });
    }

    int running(String team) {
        return running.getOrDefault(team, 0);
    }

    int most() {
        return most;
    }

    long starts() {
        return starts;
    }
}
