package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
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
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;

/** A task scheduler with one pool of simulated workers that carry out every order. */
final class SchedulerFixture {

    static final String POOL = "proofs";
    static final String QUEUE = "quick";
    static final String CUSTOMER = "distiller";
    static final long LEASE_MILLIS = 4_500;
    static final QueuePolicy QUEUE_POLICY = new QueuePolicy(QUEUE, POOL, 0, 2, 1.6, 600, false);
    static final QueuePolicy ADVISED_POLICY = new QueuePolicy(QUEUE, POOL, 0, 2, 1.6, 600, true);

    final TaskScheduler scheduler;
    final List<SchedulerEvent> events = new ArrayList<>();
    final Map<String, List<RunningTask>> runningByWorker = new HashMap<>();
    final Map<String, List<EndedRun>> endedByWorker = new HashMap<>();
    final Map<String, Long> lastEndNumber = new HashMap<>();
    final Map<String, JobProgress> lastStored = new HashMap<>();
    long now = 1_000;

    SchedulerFixture() {
        this(1, Resources.NONE);
    }

    SchedulerFixture(long term, Resources limit) {
        this(term, limit, 1);
    }

    SchedulerFixture(long term, Resources limit, double remoteFactor) {
        scheduler =
                new TaskScheduler(
                        new SchedulerSettings(term, LEASE_MILLIS, 400, 1_500, remoteFactor),
                        manifest(limit),
                        events::add,
                        now);
    }

    static Manifest manifest(Resources limit) {
        return Manifest.of(
                1,
                List.of(new QueueRoute("h.example", "/q/", false, QUEUE_POLICY)),
                List.of(new PoolPolicy(POOL, true, false)),
                List.of(new Customer(CUSTOMER, Set.of("k"), 1, limit)),
                1_000);
    }

    static StepSpec step(int count, long milliCores) {
        return step(count, milliCores, List.of(), false, false, 0);
    }

    /** Returns a step of one task for which its caller estimates a run time. */
    static StepSpec estimatedStep(long milliCores, long estimatedMillis) {
        return step(1, milliCores, estimatedMillis, List.of(), false, false, 0);
    }

    static StepSpec step(
            int count,
            long milliCores,
            List<Integer> after,
            boolean gang,
            boolean longRunning,
            int mayMiss) {
        return step(count, milliCores, 1_000, after, gang, longRunning, mayMiss);
    }

    private static StepSpec step(
            int count,
            long milliCores,
            long estimatedMillis,
            List<Integer> after,
            boolean gang,
            boolean longRunning,
            int mayMiss) {
        return new StepSpecBuilder()
                .count(count)
                .request(new Resources(milliCores, 100, 0))
                .estimatedMillis(estimatedMillis)
                .after(after)
                .gang(gang)
                .longRunning(longRunning)
                .mayMiss(mayMiss)
                .build();
    }

    /** Returns a step of which each worker takes only some tasks, of one core each. */
    static StepSpec stepWithMaxPerWorker(int count, int maxPerWorker) {
        return new StepSpecBuilder().count(count).maxPerWorker(maxPerWorker).build();
    }

    /**
     * Returns a step of one task of an image, of one core.
     *
     * @param tailTargetMillis the bound on its tail latency, or 0 if it serves no users
     * @param fills whether it runs on spare capacity
     */
    static StepSpec imageStep(
            long estimatedMillis, boolean longRunning, long tailTargetMillis, boolean fills) {
        return new StepSpecBuilder()
                .estimatedMillis(estimatedMillis)
                .longRunning(longRunning)
                .image("image")
                .tailTargetMillis(tailTargetMillis)
                .fillsSpareCapacity(fills)
                .build();
    }

    static AcceptedJob job(String id, StepSpec... steps) {
        JobSpec spec = new JobSpec(id, "payload", List.of(steps), Schedule.ONCE);
        return new AcceptedJob(spec, QUEUE_POLICY, CUSTOMER, 0);
    }

    void accept(String id, StepSpec... steps) {
        scheduler.accept(job(id, steps), 0, now);
    }

    /** Adds a job of one task to an advised queue. */
    void acceptAdvised(String id) {
        advise();
        acceptAdvised(id, step(1, 1_000));
    }

    /** Adds a job of one step to the queue, which is advised. */
    void acceptAdvised(String id, StepSpec step) {
        JobSpec spec = new JobSpec(id, "p", List.of(step), Schedule.ONCE);
        scheduler.accept(new AcceptedJob(spec, ADVISED_POLICY, "", 0), 0, now);
    }

    /** Lets the queue need placement advice from now on. */
    void advise() {
        scheduler.configure(
                Manifest.of(
                        2,
                        List.of(new QueueRoute("h.example", "/q/", true, ADVISED_POLICY)),
                        List.of(),
                        List.of(),
                        1_000));
    }

    /** Adds a job whose first step an earlier holder may have started. */
    void acceptBegun(String id, StepSpec... steps) {
        accept(id, steps);
        scheduler.restore(
                id,
                new JobProgress(
                        1,
                        JobState.RUNNING,
                        List.of(
                                new JobProgress.StepProgress(
                                        0, 0, List.of(), List.of(), List.of(POOL), List.of()))));
    }

    /** Adds a worker that has reported and holds a lease. */
    void addWorker(String id, long milliCores) {
        scheduler.workerListed(entry(id, milliCores), now);
        report(id);
        scheduler.leaseGranted(id, now + LEASE_MILLIS);
    }

    /** Adds a worker of another data centre and another rack that has reported, with a lease. */
    void addWorker(String id, long milliCores, String dataCentre) {
        scheduler.workerListed(entry(id, milliCores, dataCentre, "rack-" + dataCentre, false), now);
        report(id);
        scheduler.leaseGranted(id, now + LEASE_MILLIS);
    }

    static WorkerEntry entry(String id, long milliCores) {
        return entry(id, milliCores, "dc", "rack-1", false);
    }

    static WorkerEntry drainingEntry(String id, long milliCores) {
        return entry(id, milliCores, "dc", "rack-1", true);
    }

    private static WorkerEntry entry(
            String id, long milliCores, String dataCentre, String rack, boolean draining) {
        return new WorkerEntry(
                id,
                1,
                "vm-" + id,
                POOL,
                "127.0.0.1:1",
                dataCentre,
                draining,
                0,
                new Resources(milliCores, 10_000, 0),
                List.of("a", rack));
    }

    /** Returns what a lifetime of a worker says of itself. */
    static WorkerEntry entry(
            String id, long bornAtMillis, String vm, Resources capacity, List<String> labels) {
        return new WorkerEntry(
                id, bornAtMillis, vm, POOL, "127.0.0.1:1", "dc", false, 0, capacity, labels);
    }

    /** Applies a report of the worker's current runs. */
    void report(String id) {
        scheduler.applyReport(
                id,
                new RunReport(
                        bornAtMillisOf(id),
                        now,
                        runningByWorker.getOrDefault(id, List.of()),
                        endedByWorker.getOrDefault(id, List.of()),
                        false),
                now,
                now);
    }

    private long bornAtMillisOf(String id) {
        return scheduler.listedWorkers().stream()
                .filter(w -> w.id().equals(id))
                .mapToLong(WorkerEntry::bornAtMillis)
                .findFirst()
                .orElse(1);
    }

    /** Plans, and executes the orders on the simulated workers. */
    List<Order> plan() {
        List<Order> orders = orders();
        orders.forEach(this::execute);
        return orders;
    }

    /** Plans, and stores the progress that held-back starts wait for. */
    List<Order> orders() {
        return orders(now);
    }

    /** Plans at a wall-clock time, and stores the progress that held-back starts wait for. */
    List<Order> orders(long wallMillis) {
        List<Order> orders = new ArrayList<>(scheduler.plan(now, wallMillis));
        if (scheduler.startGate().hasHeldStarts()) {
            store();
            orders.addAll(scheduler.plan(now, wallMillis));
        }
        if (!scheduler.startGate().workersToAsk().isEmpty()) {
            scheduler.startGate().workersToAsk().forEach(this::report);
            orders.addAll(scheduler.plan(now, wallMillis));
        }
        return orders;
    }

    /** Plans and executes the orders; returns the orders to start. */
    List<Order.Start> starts() {
        return plan().stream()
                .filter(Order.Start.class::isInstance)
                .map(Order.Start.class::cast)
                .toList();
    }

    private void execute(Order order) {
        switch (order) {
            case Order.Start s ->
                    runningOn(order).add(new RunningTask(s.task(), s.run(), "", 100, 0));
            case Order.Stop s -> end(s.worker(), s.task(), RunEnd.STOPPED);
            case Order.Pace p -> {
                // The simulated workers ignore the pace.
            }
        }
        scheduler.applyAnswer(order, OrderAnswer.DONE, now);
    }

    private List<RunningTask> runningOn(Order order) {
        return runningByWorker.computeIfAbsent(order.worker(), w -> new ArrayList<>());
    }

    /** Returns the worker on which a task runs. */
    String runningWorkerOf(TaskId task) {
        return runningByWorker.entrySet().stream()
                .filter(e -> e.getValue().stream().anyMatch(r -> r.task().equals(task)))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    /** Ends a task on its worker; the worker's next report includes the end. */
    void end(String worker, TaskId task, RunEnd runEnd) {
        List<RunningTask> list = runningByWorker.getOrDefault(worker, new ArrayList<>());
        list.stream()
                .filter(r -> r.task().equals(task))
                .findFirst()
                .ifPresent(
                        r -> {
                            list.remove(r);
                            long number = lastEndNumber.merge(worker, 1L, Long::sum);
                            endedByWorker
                                    .computeIfAbsent(worker, w -> new ArrayList<>())
                                    .add(new EndedRun(number, task, r.run(), runEnd, ""));
                        });
    }

    /** Ends all runs of a worker, and applies its report. */
    void endAll(String worker, RunEnd runEnd) {
        List.copyOf(runningByWorker.getOrDefault(worker, List.of()))
                .forEach(r -> end(worker, r.task(), runEnd));
        now += 1;
        report(worker);
    }

    void store() {
        UnstoredProgress unstored = scheduler.unstoredProgress();
        lastStored.putAll(unstored.progress());
        scheduler.markStored(unstored);
    }
}
