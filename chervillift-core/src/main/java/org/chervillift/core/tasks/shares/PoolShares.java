package org.chervillift.core.tasks.shares;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Resources;

/**
 * Tells which customers use more of a pool than their weighted share.
 *
 * <p>Used when customers compete for too little capacity: one that sends several times its usual
 * load must not take the capacity of the others. A customer's part of the pool is the larger of its
 * parts of cores and memory (dominant resource fairness, Ghodsi et al. 2011). Its share is its
 * weight's part of the weights of all customers that run or wait in the pool, so a customer alone
 * may use all of it.
 */
public final class PoolShares {

    private final Resources capacity;
    private final Map<String, Resources> usage;
    private final Map<String, Double> weights = new HashMap<>();
    private final Set<String> beyond = new HashSet<>();
    private double totalWeight;

    /**
     * Creates the shares of one moment.
     *
     * @param capacity the capacity of the pool
     * @param usage what runs of each customer in the pool
     * @param waiting the customers that wait in the pool
     * @param weightOf returns the weight of a customer, which is above 0
     */
    public PoolShares(
            Resources capacity,
            Map<String, Resources> usage,
            Set<String> waiting,
            ToDoubleFunction<String> weightOf) {
        this.capacity = Checks.notNull("capacity", capacity);
        this.usage = new HashMap<>(usage);
        Set<String> customers = new HashSet<>(usage.keySet());
        customers.addAll(waiting);
        for (String customer : customers) {
            double weight = weightOf.applyAsDouble(customer);
            weights.put(customer, weight);
            totalWeight += weight;
        }
        customers.forEach(this::update);
    }

    /** Compares the use of a customer with its share; steps are looked up far more often. */
    private void update(String customer) {
        if (weights.size() > 1 && partOf(customer) > shareOf(customer)) {
            beyond.add(customer);
        }
    }

    /** Records that a customer uses more of the pool. */
    public void add(String customer, Resources more) {
        usage.merge(customer, more, Resources::plus);
        update(customer);
    }

    /**
     * Returns whether a customer uses more of the pool than a multiple of its share.
     *
     * @param multiple at least 1, which is the share itself
     */
    public boolean isBeyond(String customer, double multiple) {
        return beyond.contains(customer) && partOf(customer) > multiple * shareOf(customer);
    }

    /** Returns the part of the pool that a customer uses; 1 is all of it. */
    public double partOf(String customer) {
        Resources used = usage.getOrDefault(customer, Resources.NONE);
        return Math.max(
                part(used.milliCores(), capacity.milliCores()),
                part(used.memoryMb(), capacity.memoryMb()));
    }

    /** Returns the part of the pool that a customer may use while others wait; 1 is all of it. */
    public double shareOf(String customer) {
        return weights.getOrDefault(customer, 0.0) / totalWeight;
    }

    private static double part(long used, long capacity) {
        return capacity == 0 ? 0 : (double) used / capacity;
    }
}
