package org.chervillift.core.tasks.vms;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Forecasts the demand of pools whose queues surge again and again.
 *
 * <p>Answers a queue that was nearly idle and suddenly receives many times as many jobs. A VM takes
 * seconds to join a pool, and the first jobs do not show how large the surge is; least of all while
 * few callers reach the system, as after a loss of power. When a surge begins, the rate of the
 * pool's last surge is taken as its demand until the rate of this one is known. A wrong forecast
 * thus costs VMs for a short time only.
 */
public final class SurgeForecast {

    /** A surge has begun once work arrives at a quarter of the rate of the last one. */
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
     * @param peaks the rate of the last surge of each pool, in thousandths of a core, as far as
     *     known from an earlier holder
     * @param onBegin called when a surge begins that is forecast to exceed its present rate
     */
    public SurgeForecast(Map<String, Long> peaks, Consumer<BegunSurge> onBegin) {
        this.onBegin = onBegin;
        peaks.forEach((pool, peak) -> surgesByPool.put(pool, new PoolSurges(peak)));
    }

    /**
     * Records the rate of a pool and returns the rate to provide for.
     *
     * @param arrivingMilliCores the work that arrives per unit of time, in thousandths of a core
     * @return the forecast while a surge begins, otherwise the given rate
     */
    public long update(String pool, long arrivingMilliCores, long now) {
        PoolSurges surges = surgesByPool.computeIfAbsent(pool, p -> new PoolSurges(0));
        boolean surgedBefore = surges.surging;
        long forecast = surges.update(arrivingMilliCores, now);
        if (!surgedBefore && forecast > arrivingMilliCores) {
            onBegin.accept(new BegunSurge(pool, arrivingMilliCores, forecast));
        }
        return forecast;
    }

    /** Returns the rate of the last surge of each pool, in thousandths of a core. */
    public Map<String, Long> peaks() {
        Map<String, Long> peaks = new TreeMap<>();
        surgesByPool.forEach((pool, surges) -> peaks.put(pool, surges.peak()));
        peaks.values().removeIf(p -> p == 0);
        return peaks;
    }

    /** The surges of one pool; all rates are in thousandths of a core. */
    private static final class PoolSurges {

        private final SustainedRate sustainedRate = new SustainedRate();
        private long peak;
        private long currentPeak;
        private long begunAt;
        private boolean surging;

        PoolSurges(long peak) {
            this.peak = peak;
        }

        long update(long rate, long now) {
            long sustained = sustainedRate.update(rate, now);
            if (!surging && rate > 0 && rate >= peak * BEGIN_SHARE) {
                surging = true;
                begunAt = now;
                currentPeak = 0;
            }
            if (!surging) {
                return rate;
            }
            currentPeak = Math.max(currentPeak, sustained);
            long forecast = now - begunAt < FORECAST_MILLIS ? Math.max(rate, peak) : rate;
            endIfOver(rate);
            return forecast;
        }

        /** Keeps the rate of a surge that has ended; one that was over at once shows none. */
        private void endIfOver(long rate) {
            long size = currentPeak > 0 ? currentPeak : peak;
            if (rate < size * END_SHARE || rate == 0) {
                surging = false;
                peak = size;
            }
        }

        /** Returns the rate of the last surge, or of this one once it is larger. */
        long peak() {
            return surging ? Math.max(peak, currentPeak) : peak;
        }
    }
}
