package org.chervillift.core.tasks.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;

/**
 * Forecasts for each queue when a job would start that is handed in now.
 *
 * <p>Addresses surges: work that waits divided by the rate at which the pool works it off. The work
 * of a customer with a limit takes no more of that rate than its limit, and the rest of it waits
 * behind the new job.
 */
public final class StartForecaster {

    /** The forecast converges from above by the part that unlimited customers have of the rate. */
    private static final int ITERATIONS = 30;

    private static final double PERCENT = 100;

    private final Manifest manifest;
    private final Map<String, Long> rates;
    private final Map<String, List<WaitingWork>> waitingByPool;

    private StartForecaster(
            Manifest manifest, Map<String, Long> rates, Collection<WaitingWork> waiting) {
        this.manifest = manifest;
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
        StartForecaster forecaster = new StartForecaster(manifest, rates, waiting);
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
        List<WaitingWork> same = waitingFor(queue, w -> w.priority() == queue.priority());
        double jobs = same.stream().mapToInt(WaitingWork::jobs).sum();
        double estimated = same.stream().mapToDouble(WaitingWork::estimatedWork).sum();
        return new QueueForecast(
                queue.queue(),
                startMillis(queue, waitingFor(queue, w -> w.priority() <= queue.priority())),
                startMillis(queue, waitingFor(queue, w -> w.priority() < queue.priority())),
                Math.round(estimated / Math.max(1, jobs)),
                runTimePercent(waitingFor(queue, w -> w.queue().equals(queue.queue()))));
    }

    private List<WaitingWork> waitingFor(QueuePolicy queue, Predicate<WaitingWork> which) {
        return waitingByPool.getOrDefault(queue.pool(), List.of()).stream().filter(which).toList();
    }

    private long startMillis(QueuePolicy queue, List<WaitingWork> ahead) {
        long rate = rates.get(queue.pool());
        Map<String, Double> workByCustomer = new HashMap<>();
        ahead.forEach(w -> workByCustomer.merge(w.customer(), w.work(), Double::sum));
        double millis = workByCustomer.values().stream().mapToDouble(w -> w).sum() / rate;
        for (int i = 0; i < ITERATIONS; i++) {
            double until = millis;
            millis =
                    workByCustomer.entrySet().stream()
                                    .mapToDouble(
                                            e ->
                                                    Math.min(
                                                            e.getValue(),
                                                            limitOf(e.getKey()) * until))
                                    .sum()
                            / rate;
        }
        return (long) millis;
    }

    /** Returns the most that may run for a customer at once, in thousandths of a core. */
    private double limitOf(String name) {
        Customer customer = manifest.customers().get(name);
        boolean hasLimit = customer != null && customer.limit().milliCores() > 0;
        return hasLimit ? customer.limit().milliCores() : Double.POSITIVE_INFINITY;
    }

    private static long runTimePercent(List<WaitingWork> ofQueue) {
        double estimated = ofQueue.stream().mapToDouble(WaitingWork::estimatedWork).sum();
        double expected = ofQueue.stream().mapToDouble(WaitingWork::work).sum();
        return estimated <= 0
                ? QueueForecast.AS_ESTIMATED_PERCENT
                : Math.round(PERCENT * expected / estimated);
    }
}
