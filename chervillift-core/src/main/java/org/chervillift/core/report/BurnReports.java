package org.chervillift.core.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.config.Objective;
import org.chervillift.api.report.BurnWindow;
import org.chervillift.api.report.ObjectiveReport;
import org.chervillift.api.report.QueueUsage;
import org.chervillift.api.report.UsageBucket;
import org.chervillift.api.report.UsageRow;

/** Works out how fast error budgets burn, from the rows of all entry VMs. */
public final class BurnReports {

    private static final double PERCENT = 100;
    private static final List<Duration> WINDOWS =
            List.of(Duration.ofMinutes(5), Duration.ofHours(1), Duration.ofHours(6));

    private BurnReports() {}

    /**
     * Reports on each objective over a span that ends now.
     *
     * @param rows the rows of the span, in any order; others are left out
     */
    public static List<ObjectiveReport> report(
            List<Objective> objectives, List<UsageRow> rows, Duration span, Instant now) {
        Checks.that(!span.isNegative() && !span.isZero(), "span must be positive");
        return objectives.stream().map(o -> reportOne(o, rows, span, now)).toList();
    }

    private static ObjectiveReport reportOne(
            Objective objective, List<UsageRow> rows, Duration span, Instant now) {
        TreeMap<Long, QueueUsage> buckets = buckets(objective, rows, span, now);
        QueueUsage whole = sum(buckets, now.minus(span));
        List<BurnWindow> windows = new ArrayList<>();
        for (Duration w : WINDOWS) {
            if (w.compareTo(span) < 0) {
                windows.add(window(objective, w, sum(buckets, now.minus(w))));
            }
        }
        windows.add(window(objective, span, whole));
        double left = PERCENT * (1 - burnRate(objective, whole));
        List<Double> byBucket = buckets.values().stream().map(u -> burnRate(objective, u)).toList();
        return new ObjectiveReport(
                objective.queue(),
                objective.goodPercent(),
                objective.withinMillis(),
                windows,
                left,
                whole.reasons(),
                byBucket);
    }

    /** Sums all rows by bucket; a bucket of the span without answers is there and empty. */
    private static TreeMap<Long, QueueUsage> buckets(
            Objective objective, List<UsageRow> rows, Duration span, Instant now) {
        TreeMap<Long, QueueUsage> buckets = new TreeMap<>();
        long first = UsageBucket.startOf(now.minus(span));
        long step = UsageBucket.LENGTH.toMillis();
        for (long s = first; s <= now.toEpochMilli(); s += step) {
            buckets.put(s, QueueUsage.NONE);
        }
        for (UsageRow row : rows) {
            for (UsageBucket b : row.buckets()) {
                QueueUsage usage = b.queues().get(objective.queue());
                if (usage != null && buckets.containsKey(b.startMillis())) {
                    buckets.merge(b.startMillis(), usage, QueueUsage::plus);
                }
            }
        }
        return buckets;
    }

    private static QueueUsage sum(TreeMap<Long, QueueUsage> buckets, Instant from) {
        return buckets.tailMap(UsageBucket.startOf(from)).values().stream()
                .reduce(QueueUsage.NONE, QueueUsage::plus);
    }

    private static BurnWindow window(Objective objective, Duration length, QueueUsage usage) {
        return new BurnWindow(
                length.toMinutes(), usage.total(), usage.bad(), burnRate(objective, usage));
    }

    private static double burnRate(Objective objective, QueueUsage usage) {
        if (usage.total() == 0) {
            return 0;
        }
        double allowed = 1 - objective.goodPercent() / PERCENT;
        return (double) usage.bad() / usage.total() / allowed;
    }
}
