package org.chervillift.api.tasks;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;

/**
 * The operator's configuration of queues, pools and customers.
 *
 * @param version grows with each change
 * @param routes where callers reach the queues
 * @param pools the pools by name
 * @param customers the customers by name
 * @param maxBodyBytes the most bytes of a caller's request
 */
public record Manifest(
        long version,
        List<QueueRoute> routes,
        Map<String, PoolPolicy> pools,
        Map<String, Customer> customers,
        int maxBodyBytes) {

    public Manifest {
        Checks.notNegative("version", version);
        routes = List.copyOf(routes);
        pools = Map.copyOf(pools);
        customers = Map.copyOf(customers);
    }

    /** Creates a manifest from lists. */
    public static Manifest of(
            long version,
            List<QueueRoute> routes,
            List<PoolPolicy> pools,
            List<Customer> customers,
            int maxBodyBytes) {
        return new Manifest(
                version,
                routes,
                pools.stream().collect(Collectors.toMap(PoolPolicy::name, Function.identity())),
                customers.stream().collect(Collectors.toMap(Customer::name, Function.identity())),
                maxBodyBytes);
    }

    /** Returns the route with the longest prefix that a path begins with. */
    public Optional<QueueRoute> routeOf(String host, String path) {
        QueueRoute best = null;
        for (QueueRoute route : routes) {
            boolean fits = route.host().equals(host) && path.startsWith(route.pathPrefix());
            boolean longer =
                    best == null || route.pathPrefix().length() > best.pathPrefix().length();
            if (fits && longer) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the policy of a queue, if the queue still exists. */
    public Optional<QueuePolicy> policyOf(String queue) {
        return routes.stream()
                .map(QueueRoute::policy)
                .filter(p -> p.queue().equals(queue))
                .findFirst();
    }

    /** Returns the customer that a key belongs to. */
    public Optional<Customer> customerOf(String key) {
        return customers.values().stream().filter(c -> c.keys().contains(key)).findFirst();
    }

    /** Returns whether workers of a pool refuse what does not fit. */
    public boolean guardsCapacity(String pool) {
        PoolPolicy policy = pools.get(pool);
        return policy != null && policy.guardsCapacity();
    }

    /** Returns whether the VMs of a pool are off. */
    public boolean isStandby(String pool) {
        PoolPolicy policy = pools.get(pool);
        return policy != null && policy.standby();
    }
}
