package org.chervillift.api.report;

import java.util.List;
import java.util.Map;

/**
 * How a queue did against its objective.
 *
 * @param queue the queue
 * @param goodPercent the part of answers that must be good, in percent
 * @param withinMillis an answer is good when it comes within this time
 * @param windows the burn over several windows, shortest first
 * @param budgetLeftPercent the part of the error budget of the whole span that is left, in percent;
 *     negative when it is overspent
 * @param reasons answers without an upstream's answer over the span, by the number of the error
 * @param burnByBucket the burn rate of each bucket of the span, in order of time
 */
public record ObjectiveReport(
        String queue,
        double goodPercent,
        long withinMillis,
        List<BurnWindow> windows,
        double budgetLeftPercent,
        Map<Integer, Long> reasons,
        List<Double> burnByBucket) {
    public ObjectiveReport {
        windows = List.copyOf(windows);
        reasons = Map.copyOf(reasons);
        burnByBucket = List.copyOf(burnByBucket);
    }
}
