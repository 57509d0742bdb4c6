package org.chervillift.api.report;

import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.Checks;

/**
 * Answers of one queue in one span of time.
 *
 * @param good answers that met the objective
 * @param bad answers that did not, through no fault of the caller
 * @param reasons answers without an upstream's answer, by the number of the error
 */
public record QueueUsage(long good, long bad, Map<Integer, Long> reasons) {

    /** No answers. */
    public static final QueueUsage NONE = new QueueUsage(0, 0, Map.of());

    public QueueUsage {
        Checks.notNegative("good", good);
        Checks.notNegative("bad", bad);
        reasons = Map.copyOf(reasons);
    }

    /** Returns the sum of both. */
    public QueueUsage plus(QueueUsage other) {
        Map<Integer, Long> sum = new TreeMap<>(reasons);
        other.reasons.forEach((code, count) -> sum.merge(code, count, Long::sum));
        return new QueueUsage(good + other.good, bad + other.bad, sum);
    }

    /** Returns the number of answers that count for the objective. */
    public long total() {
        return good + bad;
    }
}
