package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Guards against a customer that takes the capacity of the others in a full pool. */
class CustomerShareTest {

    private static final int CUSTOMERS = 20;
    private static final int SURGE_FACTOR = 9;
    private static final long TICK_MILLIS = 50;
    private static final long JOB_INTERVAL_MILLIS = 500;
    private static final long RUN_MILLIS = 1_000;
    private static final long LOAD_MILLIS = 15_000;
    private static final long OBJECTIVE_MILLIS = 600 + 1_600;
    private static final long POOL_MILLI_CORES = 45_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void configure(Map<String, Double> weights) {
        List<Customer> customers =
                weights.entrySet().stream()
                        .map(e -> customer(e.getKey(), e.getValue()))
                        .collect(Collectors.toList());
        fixture.scheduler.configure(
                Manifest.of(
                        2,
                        List.of(
                                new QueueRoute(
                                        "h.example", "/q/", false, SchedulerFixture.QUEUE_POLICY)),
                        List.of(new PoolPolicy(SchedulerFixture.POOL, true, false)),
                        customers,
                        1_000));
    }

    private static Customer customer(String name, double weight) {
        return new Customer(name, Set.of("key-of-" + name), weight, Resources.NONE);
    }

    private void accept(String customer, String id, StepSpec... steps) {
        JobSpec spec = new JobSpec(id, "p", List.of(steps), Schedule.ONCE);
        fixture.scheduler.accept(
                new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, customer, 0), 0, fixture.now);
    }

    private Map<String, Long> startsByJob() {
        return fixture.starts().stream()
                .collect(Collectors.groupingBy(s -> s.task().job(), Collectors.counting()));
    }

    /** Each customer needs two cores; the pool has 45, and one of them needs eighteen. */
    @Test
    void jobsOfOtherCustomersMeetTheirObjectiveWhileOneSendsNineTimesItsLoad() {
        configure(Map.of());
        fixture.addWorker("w1", POOL_MILLI_CORES);
        Map<String, Long> arrivals = new TreeMap<>();
        Map<String, Long> done = new HashMap<>();
        Map<RunningTask, Long> ends = new HashMap<>();
        long start = fixture.now;
        while (fixture.now < start + 2 * LOAD_MILLIS) {
            if (fixture.now < start + LOAD_MILLIS
                    && (fixture.now - start) % JOB_INTERVAL_MILLIS == 0) {
                sendJobs(arrivals);
            }
            fixture.plan();
            endRuns(ends);
            arrivals.keySet().stream()
                    .filter(this::isFinal)
                    .forEach(id -> done.putIfAbsent(id, fixture.now));
        }

        List<String> others =
                arrivals.keySet().stream().filter(id -> !id.startsWith("c0.")).toList();
        assertThat(done).hasSameSizeAs(arrivals);
        assertThat(others).allMatch(id -> done.get(id) - arrivals.get(id) <= OBJECTIVE_MILLIS);
        assertThat(fixture.events)
                .filteredOn(e -> e.kind() == SchedulerEvent.Kind.BEYOND_SHARE)
                .allMatch(e -> e.detail().contains("customer=c0 "))
                .hasSizeBetween(1, 3);
    }

    private void sendJobs(Map<String, Long> arrivals) {
        for (int c = 0; c < CUSTOMERS; c++) {
            for (int i = 0; i < (c == 0 ? SURGE_FACTOR : 1); i++) {
                String id = "c" + c + "." + i + "." + fixture.now;
                arrivals.put(id, fixture.now);
                accept("c" + c, id, step(1, 1_000));
            }
        }
    }

    private boolean isFinal(String id) {
        return fixture.scheduler.stateOf(id).filter(s -> s.isFinal()).isPresent();
    }

    private void endRuns(Map<RunningTask, Long> ends) {
        List<RunningTask> running = fixture.runningByWorker.getOrDefault("w1", new ArrayList<>());
        running.forEach(r -> ends.putIfAbsent(r, fixture.now + RUN_MILLIS));
        fixture.now += TICK_MILLIS;
        List.copyOf(running).stream()
                .filter(r -> ends.get(r) <= fixture.now)
                .forEach(r -> fixture.end("w1", r.task(), RunEnd.DONE));
        fixture.report("w1");
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        fixture.store();
    }

    /** The share of "a" is 2 cores. It gives way with its third, the first beyond the share. */
    @Test
    void oneStepWithManyTasksGivesWayOnceItsCustomerIsBeyondItsShare() {
        configure(Map.of("a", 1.0, "b", 3.0));
        fixture.addWorker("w1", 8_000);
        accept("a", "of-a", step(20, 1_000));
        accept("b", "of-b", step(20, 1_000));

        assertThat(startsByJob()).containsEntry("of-a", 3L).containsEntry("of-b", 5L);
    }

    /** Jobs were left half finished, and all of them ended later. */
    @Test
    void aBegunJobIsFinishedUpToTwiceTheShareOfItsCustomer() {
        configure(Map.of("a", 1.0, "b", 1.0, "c", 1.0));
        fixture.addWorker("w1", 9_000);
        accept("a", "begun", step(4, 1_000), step(9, 1_000, List.of(0), false, false, 0));
        accept("a", "other-of-a", step(1, 1_000, List.of(), false, true, 0));
        assertThat(startsByJob()).containsEntry("begun", 4L);
        fixture.report("w1");
        for (int i = 0; i < 4; i++) {
            fixture.end("w1", new TaskId("begun", 0, 0, i), RunEnd.DONE);
        }
        accept("b", "of-b", step(20, 1_000));
        accept("c", "of-c", step(20, 1_000));
        fixture.report("w1");
        assertThat(startsByJob().get("begun")).isBetween(4L, 6L);
    }

    @Test
    void aCustomerAloneUsesTheWholePool() {
        configure(Map.of("a", 1.0, "b", 100.0));
        fixture.addWorker("w1", 8_000);
        accept("a", "of-a", step(20, 1_000));

        assertThat(startsByJob()).containsEntry("of-a", 8L);
    }

    @Test
    void roomThatCustomersWithinTheirShareLeaveIsUsed() {
        configure(Map.of());
        fixture.addWorker("w1", 8_000);
        accept("a", "of-a", step(20, 1_000));
        accept("b", "of-b", step(1, 1_000));

        assertThat(startsByJob()).containsEntry("of-a", 7L).containsEntry("of-b", 1L);
    }

    @Test
    void longRunningTasksCountTowardsTheShareOfTheirCustomer() {
        configure(Map.of());
        fixture.addWorker("w1", 8_000);
        accept("a", "service", step(5, 1_000, List.of(), false, true, 0));
        fixture.starts();
        accept("a", "of-a", step(2, 1_000));
        accept("b", "of-b", step(20, 1_000));

        assertThat(startsByJob()).isEqualTo(Map.of("of-b", 3L));
    }

    /** Usage is derived from reports, so that a surge goes on being held back by a new holder. */
    @Test
    void runsThatANewHolderAdoptsCountTowardsTheShare() {
        configure(Map.of());
        fixture.accept("old", step(5, 1_000));
        accept("b", "of-b", step(20, 1_000));
        accept(SchedulerFixture.CUSTOMER, "new", step(2, 1_000));
        IntStream.range(0, 5)
                .mapToObj(i -> new TaskId("old", 0, 0, i))
                .map(t -> new RunningTask(t, 1, "", 10, 0))
                .forEach(
                        r ->
                                fixture.runningByWorker
                                        .computeIfAbsent("w1", w -> new ArrayList<>())
                                        .add(r));
        fixture.addWorker("w1", 8_000);

        assertThat(startsByJob()).isEqualTo(Map.of("of-b", 3L));
    }

    @Test
    void aWeightThatIsNoPositiveNumberCountsAsOne() {
        assertThat(List.of(0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY))
                .allMatch(w -> customer("a", w).weight() == 1);
    }
}
