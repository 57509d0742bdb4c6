package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;
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
import org.junit.jupiter.api.Test;

/** Guards against changed orders for loads that do not call for shares of customers. */
class CustomerShareReplayTest {

    private static final int JOBS = 120;
    private static final int CUSTOMERS = 6;
    private static final int WORKERS = 5;
    private static final long TICK_MILLIS = 50;
    private static final long RUN_MILLIS = 700;

    /** The digest of the orders that release 6184b8a gives for the load in a full pool. */
    private static final int DIGEST_BEFORE_IN_FULL_POOL = -1_683_254_258;

    /** The digest of the orders that release 6184b8a gives for the load with room for all. */
    private static final int DIGEST_BEFORE_WITH_ROOM = -1_364_291_777;

    @Test
    void aCustomerAloneInAFullPoolGetsTheOrdersOfBefore() {
        List<String> orders = replay(i -> "customer-0", 4_000, i -> 3.0);

        assertThat(orders).hasSizeGreaterThan(JOBS);
        assertThat(orders.hashCode()).isEqualTo(DIGEST_BEFORE_IN_FULL_POOL);
    }

    @Test
    void customersOfAPoolWithRoomForAllGetTheOrdersOfBefore() {
        List<String> orders = replay(i -> "customer-" + i % CUSTOMERS, 400_000, i -> 1.0 + i);

        assertThat(orders).hasSizeGreaterThan(JOBS);
        assertThat(orders.hashCode()).isEqualTo(DIGEST_BEFORE_WITH_ROOM);
    }

    private static List<String> replay(
            IntFunction<String> customerOf, long milliCores, IntFunction<Double> weightOf) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.scheduler.configure(manifest(weightOf));
        IntStream.range(0, WORKERS).forEach(i -> fixture.addWorker("w" + i, milliCores));
        Random random = new Random(1);
        Map<RunningTask, Long> ends = new HashMap<>();
        List<String> orders = new ArrayList<>();
        int next = 0;
        while (next < JOBS || !ends.isEmpty()) {
            for (int i = 0; i < 4 && next < JOBS; i++) {
                accept(fixture, next, customerOf.apply(next), random);
                next++;
            }
            fixture.plan().forEach(o -> orders.add(o.toString()));
            endRuns(fixture, ends);
        }
        return orders;
    }

    private static Manifest manifest(IntFunction<Double> weightOf) {
        List<Customer> customers =
                IntStream.range(0, CUSTOMERS)
                        .mapToObj(
                                i ->
                                        new Customer(
                                                "customer-" + i,
                                                Set.of("k" + i),
                                                weightOf.apply(i),
                                                Resources.NONE))
                        .toList();
        return Manifest.of(
                2,
                List.of(new QueueRoute("h.example", "/q/", false, SchedulerFixture.QUEUE_POLICY)),
                List.of(new PoolPolicy(SchedulerFixture.POOL, true, false)),
                customers,
                1_000);
    }

    private static void accept(
            SchedulerFixture fixture, int number, String customer, Random random) {
        StepSpec step =
                number % 10 == 9
                        ? SchedulerFixture.step(2, 1_000, List.of(), true, false, 0)
                        : SchedulerFixture.step(1 + random.nextInt(4), 500 + random.nextInt(1_000));
        JobSpec spec = new JobSpec("job" + number, "p", List.of(step), Schedule.ONCE);
        fixture.scheduler.accept(
                new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, customer, 0), 0, fixture.now);
    }

    private static void endRuns(SchedulerFixture fixture, Map<RunningTask, Long> ends) {
        fixture.runningByWorker.forEach(
                (w, runs) -> runs.forEach(r -> ends.putIfAbsent(r, fixture.now + RUN_MILLIS)));
        fixture.now += TICK_MILLIS;
        for (int i = 0; i < WORKERS; i++) {
            String worker = "w" + i;
            List.copyOf(fixture.runningByWorker.getOrDefault(worker, List.of())).stream()
                    .filter(r -> ends.get(r) <= fixture.now)
                    .forEach(r -> fixture.end(worker, r.task(), RunEnd.DONE));
            fixture.report(worker);
            fixture.scheduler.leaseGranted(worker, fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
        ends.values().removeIf(end -> end <= fixture.now);
        fixture.store();
    }
}
