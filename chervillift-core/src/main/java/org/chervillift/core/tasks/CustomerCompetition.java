package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.shares.PoolShares;

/**
 * Derives the shares of a pool's customers from its runs, if several customers wait for too little
 * room.
 *
 * <p>Without competition the order of starts does not depend on customers.
 */
final class CustomerCompetition {

    private CustomerCompetition() {}

    /**
     * Returns the shares; empty if the pool has room for all that waits, or only one customer
     * waits.
     *
     * @param steps the steps of the pool with tasks that could start now
     * @param pool the workers of the pool
     */
    static Optional<PoolShares> sharesIn(
            List<StepEntry> steps, List<WorkerRecord> pool, Manifest manifest, long now) {
        Set<String> waiting = new HashSet<>();
        steps.forEach(s -> waiting.add(customerOf(s)));
        if (waiting.size() < 2 || hasRoomForAll(steps, pool, now)) {
            return Optional.empty();
        }
        return Optional.of(
                new PoolShares(
                        capacityOf(pool, now),
                        usageIn(pool),
                        waiting,
                        customer -> weightOf(customer, manifest)));
    }

    static String customerOf(StepEntry step) {
        return step.job().job().customer();
    }

    /** Returns the weight of a customer; one that the configuration does not name counts as 1. */
    private static double weightOf(String name, Manifest manifest) {
        Customer customer = manifest.customers().get(name);
        return customer == null ? Customer.DEFAULT_WEIGHT : customer.weight();
    }

    /**
     * Returns whether the workers together have room for all tasks, and the largest room is enough
     * for each task. Room that is lost between workers counts.
     */
    private static boolean hasRoomForAll(List<StepEntry> steps, List<WorkerRecord> pool, long now) {
        Resources free = Resources.NONE;
        Resources largestFree = Resources.NONE;
        for (WorkerRecord worker : pool) {
            if (worker.acceptsTasks(now)) {
                free = free.plus(worker.freeResources());
                largestFree = largestFree.max(worker.freeResources());
            }
        }
        Resources needed = Resources.NONE;
        for (StepEntry step : steps) {
            Resources footprint = step.spec().footprint();
            needed = needed.plus(footprint.times(step.tasks().waitingCount()));
            if (!needed.fitsIn(free) || !footprint.fitsIn(largestFree)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the capacity of the workers that take tasks or have runs. */
    private static Resources capacityOf(Collection<WorkerRecord> pool, long now) {
        return pool.stream()
                .filter(w -> w.acceptsTasks(now) || !w.runs().isEmpty())
                .map(w -> w.entry().capacity())
                .reduce(Resources.NONE, Resources::plus);
    }

    private static Map<String, Resources> usageIn(Collection<WorkerRecord> pool) {
        Map<String, Resources> usage = new HashMap<>();
        for (WorkerRecord worker : pool) {
            for (Run run : worker.runs()) {
                usage.merge(customerOf(run.task().step()), run.footprint(), Resources::plus);
            }
        }
        return usage;
    }
}
