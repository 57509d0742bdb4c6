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

/** Computes the burn rates of error budgets from the usage rows of all entry VMs. */
public final class BurnRateReports {

    private static final double HUNDRED_PERCENT = 100;
    private static final List<Duration> WINDOWS =
            List.of(Duration.ofMinutes(5), Duration.ofHours(1), Duration.ofHours(6));

    private BurnRateReports() {}

    /**
     * Returns a report for each objective over a time span that ends now.
     *
     * @param rows usage rows in any order; buckets outside the span are ignored
     */
    public static List<ObjectiveReport> reportAll(
            List<Objective> objectives, List<UsageRow> rows, Duration span, Instant now) {
        Checks.that(!span.isNegative() && !span.isZero(), "span must be positive");
        return objectives.stream().map(o -> reportObjective(o, rows, span, now)).toList();
    }

    private static ObjectiveReport reportObjective(
            Objective objective, List<UsageRow> rows, Duration span, Instant now) {
        TreeMap<Long, QueueUsage> buckets = usageByBucket(objective, rows, span, now);
        QueueUsage spanUsage = sumFrom(buckets, now.minus(span));
        List<BurnWindow> windows = new ArrayList<>();
        for (Duration w : WINDOWS) {
            if (w.compareTo(span) < 0) {
                windows.add(burnWindow(objective, w, sumFrom(buckets, now.minus(w))));
            }
        }
        windows.add(burnWindow(objective, span, spanUsage));
        double budgetLeftPercent = HUNDRED_PERCENT * (1 - burnRate(objective, spanUsage));
        List<Double> burnRateByBucket =
                buckets.values().stream().map(u -> burnRate(objective, u)).toList();
        return new ObjectiveReport(
                objective.queue(),
                objective.goodPercent(),
                objective.withinMillis(),
                windows,
                budgetLeftPercent,
                spanUsage.reasons(),
                burnRateByBucket);
    }

    /** Sums the rows by bucket, with an empty entry for each bucket of the span without answers. */
    private static TreeMap<Long, QueueUsage> usageByBucket(
            Objective objective, List<UsageRow> rows, Duration span, Instant now) {
        TreeMap<Long, QueueUsage> buckets = new TreeMap<>();
        long firstStart = UsageBucket.startOf(now.minus(span));
        long stepMillis = UsageBucket.LENGTH.toMillis();
        for (long s = firstStart; s <= now.toEpochMilli(); s += stepMillis) {
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

    private static QueueUsage sumFrom(TreeMap<Long, QueueUsage> buckets, Instant from) {
        return buckets.tailMap(UsageBucket.startOf(from)).values().stream()
                .reduce(QueueUsage.NONE, QueueUsage::plus);
    }

    private static BurnWindow burnWindow(Objective objective, Duration length, QueueUsage usage) {
        return new BurnWindow(
                length.toMinutes(), usage.total(), usage.bad(), burnRate(objective, usage));
    }

    private static double burnRate(Objective objective, QueueUsage usage) {
        if (usage.total() == 0) {
            return 0;
        }
        double allowedBadShare = 1 - objective.goodPercent() / HUNDRED_PERCENT;
        return (double) usage.bad() / usage.total() / allowedBadShare;
    }
}
