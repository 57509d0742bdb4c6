package org.chervillift.bench.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.Order;
import org.chervillift.core.tasks.SchedulerSettings;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.UnstoredProgress;

/** A scheduler with full pools, and workers in memory that carry out every order. */
final class PlanFleet {

    private static final int WORKERS = 1_200;
    private static final int WAITING_TASKS = 10_000;
    private static final int CUSTOMERS = 20;
    private static final int RUNS_PER_WORKER = 8;
    private static final int PRIORITIES = 2;
    private static final long MILLI_CORES = 1_000;
    private static final long ESTIMATE_MILLIS = 20_000;

    /** Each run shows progress in each report, so that none counts as stalled. */
    private static final long MILLIS_PER_PERCENT = 200;

    private static final long LEASE_MILLIS = 1_000_000;
    private static final SchedulerSettings SETTINGS =
            new SchedulerSettings(1, LEASE_MILLIS, 400, 1_500, 1);

    private final int pools;
    private final Random random;
    private final TaskScheduler scheduler;
    private final Map<String, List<RunningTask>> running = new HashMap<>();
    private final Map<String, Long> endCount = new HashMap<>();
    private int jobs;
    private long now = 1_000;

    /** Creates a fleet of which each worker is full and all further tasks wait. */
    PlanFleet(int pools, Random random) {
        this.pools = pools;
        this.random = random;
        this.scheduler = new TaskScheduler(SETTINGS, manifest(pools), e -> {}, now);
        for (int i = 0; i < WORKERS; i++) {
            addWorker(i);
        }
        accept(WORKERS * RUNS_PER_WORKER + WAITING_TASKS);
        execute(plan());
        execute(plan());
    }

    private static Manifest manifest(int pools) {
        List<QueueRoute> routes = new ArrayList<>();
        List<PoolPolicy> policies = new ArrayList<>();
        List<Customer> customers = new ArrayList<>();
        for (int i = 0; i < pools; i++) {
            policies.add(new PoolPolicy("pool-" + i, true, false));
            for (int p = 0; p < PRIORITIES; p++) {
                routes.add(new QueueRoute("h.example", "/" + i + "/" + p, false, policy(i, p)));
            }
        }
        for (int i = 0; i < CUSTOMERS; i++) {
            customers.add(new Customer("customer-" + i, Set.of("k" + i), 1 + i, Resources.NONE));
        }
        return Manifest.of(1, routes, policies, customers, 1_000);
    }

    private static QueuePolicy policy(int pool, int priority) {
        String queue = "queue-" + pool + "-" + priority;
        return new QueuePolicy(queue, "pool-" + pool, priority, 2, 1.6, 600, false);
    }

    private void addWorker(int number) {
        String id = "worker-" + number;
        Resources capacity = new Resources(RUNS_PER_WORKER * MILLI_CORES, 16_000, 0);
        List<String> labels = List.of("a", "rack-" + number % 40);
        String pool = "pool-" + number % pools;
        scheduler.workerListed(
                new WorkerEntry(
                        id, 1, "vm-" + id, pool, "192.0.2.1:1", "dc", false, 0, capacity, labels),
                now);
        report(id, List.of());
        scheduler.leaseGranted(id, now + LEASE_MILLIS);
    }

    private void accept(int count) {
        for (int i = 0; i < count; i++) {
            int job = jobs++;
            JobSpec spec = new JobSpec("job-" + job, "p", List.of(step()), Schedule.ONCE);
            QueuePolicy policy = policy(job % pools, random.nextInt(PRIORITIES));
            String customer = "customer-" + random.nextInt(CUSTOMERS);
            scheduler.accept(new AcceptedJob(spec, policy, customer, 0), 0, now);
        }
    }

    private StepSpec step() {
        Resources request = new Resources(MILLI_CORES, 500 + 100 * random.nextInt(10), 0);
        return new StepSpec(
                1,
                request,
                ESTIMATE_MILLIS,
                List.of(),
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0,
                false);
    }

    /** Plans once. */
    List<Order> plan() {
        return scheduler.plan(now, now);
    }

    /** Carries out the orders of a plan, and stores the progress that held starts wait for. */
    void execute(List<Order> orders) {
        orders.forEach(this::execute);
        store();
    }

    private void store() {
        UnstoredProgress unstored = scheduler.unstoredProgress();
        scheduler.markStored(unstored);
    }

    private void execute(Order order) {
        scheduler.applyAnswer(order, OrderAnswer.DONE, now);
        RunningTask run = new RunningTask(order.task(), order.run(), "", 0, 0);
        List<RunningTask> runs = running.computeIfAbsent(order.worker(), w -> new ArrayList<>());
        if (order instanceof Order.Start) {
            runs.add(run);
        } else if (order instanceof Order.Stop && runs.remove(run)) {
            end(order.worker(), run, RunEnd.STOPPED);
        }
    }

    /** Ends a run on each of some workers, and accepts as many tasks. */
    void replace(int count) {
        now += 50;
        for (int i = 0; i < count; i++) {
            String worker = "worker-" + random.nextInt(WORKERS);
            List<RunningTask> runs = running.getOrDefault(worker, List.of());
            if (!runs.isEmpty()) {
                end(worker, runs.remove(0), RunEnd.DONE);
            }
        }
        accept(count);
    }

    private void end(String worker, RunningTask run, RunEnd end) {
        long number = endCount.merge(worker, 1L, Long::sum);
        report(worker, List.of(new EndedRun(number, run.task(), run.run(), end, "")));
    }

    private void report(String worker, List<EndedRun> ended) {
        int percent = (int) (now / MILLIS_PER_PERCENT % 100);
        List<RunningTask> runs =
                running.getOrDefault(worker, List.of()).stream()
                        .map(r -> new RunningTask(r.task(), r.run(), "", percent, 0))
                        .toList();
        scheduler.applyReport(worker, new RunReport(1, now, runs, ended, false), now, now);
    }
}
