package org.chervillift.core.tasks.vms;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Forecasts the demand of pools whose queues surge again and again.
 *
 * <p>Addresses a queue that was nearly idle and suddenly receives many times as many jobs. A VM
 * takes seconds to join a pool, and the first jobs do not show how large the surge is; least of all
 * while few callers reach the system, as after a loss of power. When a surge begins, the mean rate
 * of the pool's last surge is taken as its demand until the rate of this one is known. A wrong
 * forecast thus costs VMs for a short time only.
 */
public final class SurgeForecast {

    /**
     * A surge has begun once more jobs arrive than before, with work at a quarter of the rate of
     * the last one; a single large job is none.
     */
    private static final double BEGIN_SHARE = 0.25;

    /** A surge has ended once work arrives at less than an eighth of its rate. */
    private static final double END_SHARE = 0.125;

    /** The rate is averaged over at most this long, so it then shows the size of the surge. */
    private static final long FORECAST_MILLIS = 2_000;

    private final Map<String, PoolSurges> surgesByPool = new HashMap<>();
    private final Consumer<BegunSurge> onBegin;

    /**
     * A surge for which VMs are provided by forecast.
     *
     * @param pool the pool
     * @param arrivingMilliCores the work that arrives per unit of time, in thousandths of a core
     * @param forecastMilliCores the rate that is provided for
     */
    public record BegunSurge(String pool, long arrivingMilliCores, long forecastMilliCores) {}

    /**
     * Creates a forecast.
     *
     * @param rates the mean rate of the last surge of each pool, in thousandths of a core, as far
     *     as known from an earlier holder
     * @param onBegin called when a surge begins that is forecast to exceed its present rate
     */
    public SurgeForecast(Map<String, Long> rates, Consumer<BegunSurge> onBegin) {
        this.onBegin = onBegin;
        rates.forEach((pool, rate) -> surgesByPool.put(pool, new PoolSurges(rate)));
    }

    /**
     * Records the rate of a pool and returns the rate to provide for.
     *
     * @param arrivingMilliCores the work that arrives per unit of time, in thousandths of a core
     * @param rising whether more jobs arrive than before, by more than chance explains
     * @return the forecast while a surge begins, otherwise the given rate
     */
    public long update(String pool, long arrivingMilliCores, boolean rising, long now) {
        PoolSurges surges = surgesByPool.computeIfAbsent(pool, p -> new PoolSurges(0));
        boolean surgedBefore = surges.surging;
        long forecast = surges.update(arrivingMilliCores, rising, now);
        if (!surgedBefore && forecast > arrivingMilliCores) {
            onBegin.accept(new BegunSurge(pool, arrivingMilliCores, forecast));
        }
        return forecast;
    }

    /** Returns the mean rate of the last surge of each pool, in thousandths of a core. */
    public Map<String, Long> rates() {
        Map<String, Long> rates = new TreeMap<>();
        surgesByPool.forEach((pool, surges) -> rates.put(pool, surges.rate()));
        rates.values().removeIf(r -> r == 0);
        return rates;
    }

    /** The surges of one pool; all rates are in thousandths of a core. */
    private static final class PoolSurges {

        private long lastRate;
        private double work;
        private long begunAt;
        private long updatedAt;
        private boolean surging;

        PoolSurges(long lastRate) {
            this.lastRate = lastRate;
        }

        long update(long rate, boolean rising, long now) {
            if (!surging && rate > 0 && rate >= lastRate * BEGIN_SHARE && (rising || isFirst())) {
                surging = true;
                begunAt = now;
                updatedAt = now;
                work = 0;
            }
            if (!surging) {
                return rate;
            }
            work += (double) rate * (now - updatedAt);
            updatedAt = now;
            long forecast = now - begunAt < FORECAST_MILLIS ? Math.max(rate, lastRate) : rate;
            endIfOver(rate);
            return forecast;
        }

        private boolean isFirst() {
            return lastRate == 0;
        }

        /** Keeps the rate of a surge that has ended; one that was over at once shows none. */
        private void endIfOver(long rate) {
            long mean = rate();
            if (rate < mean * END_SHARE || rate == 0) {
                surging = false;
                lastRate = mean;
            }
        }

        /** Returns the mean rate of this surge once it is known, until then of the last one. */
        long rate() {
            long millis = updatedAt - begunAt;
            return surging && millis >= FORECAST_MILLIS ? Math.round(work / millis) : lastRate;
        }
    }
}
