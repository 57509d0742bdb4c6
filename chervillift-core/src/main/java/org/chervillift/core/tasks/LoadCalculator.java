package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.SaturatedMath;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;

/** Calculates the load of workers and pools. */
final class LoadCalculator {

    private final Manifest manifest;
    private final RunRegistry runs;
    private final ArrivalRates arrivalRates;

    LoadCalculator(Manifest manifest, RunRegistry runs, ArrivalRates arrivalRates) {
        this.manifest = manifest;
        this.runs = runs;
        this.arrivalRates = arrivalRates;
    }

    static WorkerLoad loadOf(WorkerRecord worker, long now) {
        int longRunning = 0;
        long cores = 0;
        for (Run run : worker.runs()) {
            longRunning += run.task().step().spec().longRunning() ? 1 : 0;
            cores += run.footprint().milliCores();
        }
        return new WorkerLoad(
                worker.runs().size() - longRunning,
                longRunning,
                cores,
                worker.unreachableMillis(now));
    }

    Map<String, PoolLoad> poolLoads(
            Collection<JobEntry> live, Collection<WorkerRecord> workers, long now) {
        Map<String, Long> running = new HashMap<>();
        Map<String, Long> capacity = new HashMap<>();
        for (WorkerRecord worker : workers) {
            running.merge(worker.pool(), loadOf(worker, now).usedMilliCores(), Long::sum);
            if (worker.acceptsTasks(now)) {
                capacity.merge(worker.pool(), worker.entry().capacity().milliCores(), Long::sum);
            }
        }
        Map<String, Long> waiting = waitingByPool(live, wholeWorkers(workers, now));
        Set<String> names = new HashSet<>(running.keySet());
        names.addAll(waiting.keySet());
        Map<String, PoolLoad> loads = new HashMap<>();
        for (String pool : names) {
            loads.put(
                    pool,
                    new PoolLoad(
                            running.getOrDefault(pool, 0L),
                            waiting.getOrDefault(pool, 0L),
                            capacity.getOrDefault(pool, 0L),
                            arrivalRates.arrivingMilliCores(pool, now),
                            arrivalRates.isRising(pool, now)));
        }
        return loads;
    }

    /** Returns the cores that waiting tasks request by pool, within the limits of the customers. */
    private Map<String, Long> waitingByPool(
            Collection<JobEntry> live, Map<String, WholeWorkers> wholeWorkers) {
        Map<String, Long> waiting = new HashMap<>();
        Map<String, Long> remainingLimits = new HashMap<>();
        for (JobEntry job : live) {
            String customer = job.job().customer();
            long remaining = remainingLimits.computeIfAbsent(customer, this::remainingLimitOf);
            String pool = job.policy().pool();
            WholeWorkers whole = wholeWorkers.computeIfAbsent(pool, p -> new WholeWorkers());
            long requested = Math.min(remaining, waitingMilliCores(job, whole, limitOf(customer)));
            remainingLimits.put(customer, remaining - requested);
            waiting.merge(pool, requested, SaturatedMath::add);
        }
        return waiting;
    }

    private Resources limitOf(String name) {
        Customer customer = manifest.customers().get(name);
        return customer == null ? Resources.NONE : customer.limit();
    }

    private long remainingLimitOf(String name) {
        long limit = limitOf(name).milliCores();
        return limit == 0 ? Long.MAX_VALUE : Math.max(0, limit - runs.usageOf(name).milliCores());
    }

    private static long waitingMilliCores(JobEntry job, WholeWorkers whole, Resources limit) {
        return job.steps()
                .filter(s -> !s.isDone() && s.isReady() && canEverStart(s, limit))
                .mapToLong(s -> waitingMilliCores(s, whole))
                .reduce(0, SaturatedMath::add);
    }

    /** Returns whether a customer's limit allows a step; a gang starts as a whole or not at all. */
    private static boolean canEverStart(StepEntry step, Resources limit) {
        return !step.spec().gang()
                || step.spec().request().times(step.tasks().count()).fitsInLimit(limit);
    }

    /**
     * Returns the cores that waiting tasks need. One that must run alone needs a whole worker, as
     * far as so many workers may be isolated at once.
     */
    private static long waitingMilliCores(StepEntry step, WholeWorkers whole) {
        long footprint = step.spec().footprint().milliCores();
        long alone =
                step.tasks().kept().stream()
                        .filter(t -> t.isWaiting() && t.crashes().needsIsolation())
                        .count();
        return SaturatedMath.add(
                SaturatedMath.multiply(step.tasks().waitingCount(), footprint),
                SaturatedMath.multiply(whole.take(alone), Math.max(0, whole.largest - footprint)));
    }

    private static Map<String, WholeWorkers> wholeWorkers(
            Collection<WorkerRecord> workers, long now) {
        Map<String, WholeWorkers> byPool = new HashMap<>();
        for (WorkerRecord worker : workers) {
            byPool.computeIfAbsent(worker.pool(), p -> new WholeWorkers()).add(worker, now);
        }
        return byPool;
    }

    /** The workers of a pool that may be wanted for tasks that must run alone. */
    private static final class WholeWorkers {

        private long largest;
        private long usable;
        private long wanted;

        void add(WorkerRecord worker, long now) {
            largest = Math.max(largest, worker.entry().capacity().milliCores());
            usable += worker.acceptsTasks(now) ? 1 : 0;
        }

        /** Returns for how many more tasks of some a worker is wanted. */
        long take(long tasks) {
            long more = Math.min(tasks, IsolationPlanner.mostIsolated(usable) - wanted);
            wanted += more;
            return more;
        }
    }
}
