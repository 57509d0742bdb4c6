package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.junit.jupiter.api.Test;

/** Simulates a surge that needs twice the capacity of the pool. */
class JobRankingTest {

    private static final int JOBS = 60;
    private static final long ARRIVAL_INTERVAL_MILLIS = 100;
    private static final long TICK_MILLIS = 50;
    private static final long RUN_MILLIS = 1_000;
    private static final long OBJECTIVE_MILLIS = 600 + 1_600;
    private static final long END_MILLIS = 40_000;
    private static final long POOL_MILLI_CORES = 20_000;

    /**
     * Returns how many jobs meet their latency objective by first come, first served, where each
     * job waits for all jobs before it.
     */
    private static int inTimeFirstComeFirstServed() {
        double free = 0;
        int inTime = 0;
        for (int i = 0; i < JOBS; i++) {
            double arrival = i * ARRIVAL_INTERVAL_MILLIS;
            double work = taskCount(i) * 1_000.0 * RUN_MILLIS / POOL_MILLI_CORES;
            free = Math.max(free, arrival) + work;
            boolean done = free + RUN_MILLIS - work <= arrival + OBJECTIVE_MILLIS;
            inTime += done ? 1 : 0;
        }
        return inTime;
    }

    private static int taskCount(int job) {
        return job % 3 == 0 ? 10 : 2;
    }

    @Test
    void moreJobsMeetTheirObjectiveThanByFirstComeFirstServedAndAllComplete() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w1", POOL_MILLI_CORES);
        Map<String, Long> arrivals = new HashMap<>();
        Map<RunningTask, Long> ends = new HashMap<>();
        Map<String, Long> done = new HashMap<>();
        long start = fixture.now;
        int next = 0;
        while (fixture.now < start + END_MILLIS) {
            while (next < JOBS && fixture.now >= start + next * ARRIVAL_INTERVAL_MILLIS) {
                String id = "job" + next;
                arrivals.put(id, fixture.now);
                fixture.accept(id, step(taskCount(next), 1_000));
                next++;
            }
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
            fixture.plan();
            for (RunningTask run : fixture.runningByWorker.getOrDefault("w1", new ArrayList<>())) {
                ends.putIfAbsent(run, fixture.now + RUN_MILLIS);
            }
            fixture.now += TICK_MILLIS;
            long now = fixture.now;
            List.copyOf(fixture.runningByWorker.getOrDefault("w1", List.of())).stream()
                    .filter(r -> ends.get(r) <= now)
                    .forEach(r -> fixture.end("w1", r.task(), RunEnd.DONE));
            fixture.report("w1");
            fixture.store();
            arrivals.keySet().stream()
                    .filter(
                            id ->
                                    fixture.scheduler
                                            .stateOf(id)
                                            .filter(s -> s.isFinal())
                                            .isPresent())
                    .forEach(id -> done.putIfAbsent(id, now));
        }
        long inTime =
                done.entrySet().stream()
                        .filter(e -> e.getValue() - arrivals.get(e.getKey()) <= OBJECTIVE_MILLIS)
                        .count();
        assertThat(done).hasSize(JOBS);
        assertThat(inTime).isGreaterThan(inTimeFirstComeFirstServed());
    }
}
