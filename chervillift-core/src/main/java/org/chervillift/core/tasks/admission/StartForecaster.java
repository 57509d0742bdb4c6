package org.chervillift.core.tasks.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;

/**
 * Forecasts for each queue when a job would start at the earliest that is handed in now.
 *
 * <p>Addresses surges of more urgent work: divides it by the rate at which the pool works it off.
 * Counts such work only while its job is on time, and no work of the same urgency, of which it is
 * not sure what goes first, so that no job starts earlier than forecast. The work of a customer
 * with a limit takes no more of the rate than its limit leaves beside what runs for it.
 */
public final class StartForecaster {

    /** Times are looked at in steps that grow; a forecast is too early by at most this factor. */
    private static final double STEP_FACTOR = 1.2;

    private static final long FIRST_STEP_MILLIS = 100;
    private static final long LONGEST_MILLIS = 3_600_000;

    private static final double PERCENT = 100;

    private final Map<String, Long> rates;
    private final Map<String, List<WaitingWork>> waitingByPool;

    private StartForecaster(Map<String, Long> rates, Collection<WaitingWork> waiting) {
        this.rates = rates;
        this.waitingByPool = waiting.stream().collect(Collectors.groupingBy(WaitingWork::pool));
    }

    /**
     * Returns the forecasts of the queues that have a latency objective and of which a job would
     * wait.
     *
     * @param rates the highest rate of each pool, in thousandths of a core
     */
    public static List<QueueForecast> forecast(
            Manifest manifest, Map<String, Long> rates, Collection<WaitingWork> waiting) {
        StartForecaster forecaster = new StartForecaster(rates, waiting);
        Map<String, QueuePolicy> queues = new TreeMap<>();
        for (QueueRoute route : manifest.routes()) {
            queues.putIfAbsent(route.policy().queue(), route.policy());
        }
        List<QueueForecast> forecasts = new ArrayList<>();
        for (QueuePolicy queue : queues.values()) {
            boolean isConcerned = queue.targetLatencyMillis() > 0;
            if (isConcerned && rates.getOrDefault(queue.pool(), 0L) > 0) {
                QueueForecast forecast = forecaster.forecastOf(queue);
                if (forecast.startMillis() > 0) {
                    forecasts.add(forecast);
                }
            }
        }
        return forecasts;
    }

    private QueueForecast forecastOf(QueuePolicy queue) {
        List<WaitingWork> ahead = waitingFor(queue, w -> w.priority() < queue.priority());
        Resources largest =
                ahead.stream().map(WaitingWork::largest).reduce(Resources.NONE, Resources::max);
        return new QueueForecast(
                queue.queue(),
                startMillis(queue, ahead),
                largest,
                runTimePercent(waitingFor(queue, w -> w.queue().equals(queue.queue()))));
    }

    private List<WaitingWork> waitingFor(QueuePolicy queue, Predicate<WaitingWork> which) {
        return waitingByPool.getOrDefault(queue.pool(), List.of()).stream().filter(which).toList();
    }

    /**
     * Returns a time before which a job does not start: up to then, more work remains that still
     * goes first than the pool can have worked off, even if it takes first what goes first longest.
     */
    private long startMillis(QueuePolicy queue, List<WaitingWork> ahead) {
        double rate = rates.get(queue.pool());
        long start = 0;
        for (long millis = FIRST_STEP_MILLIS; millis < LONGEST_MILLIS; millis = next(millis)) {
            if (workUntil(millis, ahead) <= rate * millis) {
                return start;
            }
            start = millis;
        }
        return start;
    }

    private static long next(long millis) {
        return (long) (millis * STEP_FACTOR);
    }

    /**
     * Returns the work that still goes first at a time, as far as it could be running until then.
     */
    private double workUntil(long millis, List<WaitingWork> ahead) {
        Map<String, Double> byCustomer = new HashMap<>();
        Map<String, Double> limits = new HashMap<>();
        for (WaitingWork work : ahead) {
            if (work.onTimeMillis() >= millis) {
                byCustomer.merge(work.customer(), work.work(), Double::sum);
                limits.put(work.customer(), (double) work.customerMilliCores() * millis);
            }
        }
        return byCustomer.entrySet().stream()
                .mapToDouble(e -> Math.min(e.getValue(), limits.get(e.getKey())))
                .sum();
    }

    private static long runTimePercent(List<WaitingWork> ofQueue) {
        double estimated = ofQueue.stream().mapToDouble(WaitingWork::estimatedWork).sum();
        double expected = ofQueue.stream().mapToDouble(WaitingWork::work).sum();
        return estimated <= 0
                ? QueueForecast.AS_ESTIMATED_PERCENT
                : Math.round(PERCENT * expected / estimated);
    }
}
