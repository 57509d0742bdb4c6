package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chervillift.core.tasks.shares.PoolShares;

/**
 * Reports the customers whose steps are postponed since they are beyond their share of a pool.
 *
 * <p>The state is for the log and the metrics only. It has an entry for each customer that was
 * postponed in a pool within the last seconds.
 */
final class ShareMonitor {

    /** A customer near its share crosses it with each run; two lines in this time at most. */
    private static final long QUIET_MILLIS = 5_000;

    private final Consumer<SchedulerEvent> events;
    private final Map<PoolCustomer, Long> lastPostponedAt = new HashMap<>();
    private final Map<String, Integer> postponedByPool = new HashMap<>();

    private record PoolCustomer(String pool, String customer) {

        String text() {
            return "pool=" + pool + " customer=" + customer;
        }
    }

    ShareMonitor(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    /** Begins a plan. */
    void beginRound() {
        postponedByPool.clear();
    }

    /** Records how the starts of a pool were ordered. */
    void record(String pool, StartOrder order, long now) {
        Optional<PoolShares> shares = order.shares();
        if (shares.isEmpty()) {
            return;
        }
        postponedByPool.put(pool, order.postponedCustomers().size());
        for (String customer : order.postponedCustomers()) {
            PoolCustomer key = new PoolCustomer(pool, customer);
            if (lastPostponedAt.put(key, now) == null) {
                log(
                        SchedulerEvent.Kind.BEYOND_SHARE,
                        key.text() + partAndShare(shares.get(), customer));
            }
        }
    }

    private static String partAndShare(PoolShares shares, String customer) {
        return String.format(
                Locale.ROOT,
                " part=%.3f share=%.3f",
                shares.partOf(customer),
                shares.shareOf(customer));
    }

    /** Ends a plan: customers that were not postponed for a time are within their share again. */
    void endRound(long now) {
        Iterator<Map.Entry<PoolCustomer, Long>> entries = lastPostponedAt.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<PoolCustomer, Long> entry = entries.next();
            if (now - entry.getValue() >= QUIET_MILLIS) {
                log(SchedulerEvent.Kind.WITHIN_SHARE, entry.getKey().text());
                entries.remove();
            }
        }
    }

    private void log(SchedulerEvent.Kind kind, String detail) {
        events.accept(new SchedulerEvent(kind, "", "", "", detail));
    }

    /** Returns how many customers were postponed by the last plan, by pool with competition. */
    Map<String, Integer> postponedByPool() {
        return Map.copyOf(postponedByPool);
    }
}
