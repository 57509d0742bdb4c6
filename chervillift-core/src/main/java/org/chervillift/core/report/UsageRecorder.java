package org.chervillift.core.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.Objective;
import org.chervillift.api.report.QueueUsage;
import org.chervillift.api.report.UsageBucket;
import org.chervillift.api.report.UsageRow;

/**
 * Counts the answers of one process by queue and bucket, until they are saved.
 *
 * <p>Used by one thread. Holds at most {@link #MOST_HOURS} hours that are not saved; the oldest
 * goes first.
 */
public final class UsageRecorder {

    /** Hours that are held while the platform is away. */
    public static final int MOST_HOURS = 24;

    /** Refusals that the caller brought about; they do not count for objectives. */
    private static final Set<ErrorCode> CALLERS_OWN =
            Set.copyOf(
                    EnumSet.of(
                            ErrorCode.BAD_REQUEST,
                            ErrorCode.KEY_REFUSED,
                            ErrorCode.UNKNOWN_QUEUE,
                            ErrorCode.TEAM_LIMIT,
                            ErrorCode.IDENTIFIER_REUSED,
                            ErrorCode.TOO_LARGE));

    private static final int FIRST_SERVER_ERROR = 500;
    private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();

    private final String vm;
    private final String process;
    private final TreeMap<Long, Map<String, QueueUsage>> buckets = new TreeMap<>();
    private final Set<Long> changedHours = new HashSet<>();

    /** Creates a recorder for a process on an entry VM. */
    public UsageRecorder(String vm, String process) {
        this.vm = Checks.notBlank("vm", vm);
        this.process = Checks.notBlank("process", process);
    }

    /** Counts an answer of a queue with an objective. */
    public void record(Objective objective, AnswerOutcome outcome, Instant now) {
        long start = UsageBucket.startOf(now);
        buckets.computeIfAbsent(start, s -> new HashMap<>())
                .merge(objective.queue(), usage(objective, outcome), QueueUsage::plus);
        changedHours.add(hourOf(start));
        forgetOld(hourOf(start));
    }

    private static QueueUsage usage(Objective objective, AnswerOutcome outcome) {
        return switch (outcome) {
            case AnswerOutcome.Answered a -> {
                boolean good =
                        a.status() < FIRST_SERVER_ERROR
                                && a.took().toMillis() <= objective.withinMillis();
                yield new QueueUsage(good ? 1 : 0, good ? 0 : 1, Map.of());
            }
            case AnswerOutcome.Refused r -> {
                long bad = CALLERS_OWN.contains(r.code()) ? 0 : 1;
                yield new QueueUsage(0, bad, Map.of(r.code().number(), 1L));
            }
        };
    }

    /** Returns the rows that hold counts not saved yet, oldest first. */
    public List<UsageRow> unsaved() {
        return changedHours.stream().sorted().map(this::row).toList();
    }

    /** Notes that a row was saved as it was given. */
    public void saved(UsageRow row) {
        if (row(row.hourMillis()).equals(row)) {
            changedHours.remove(row.hourMillis());
        }
    }

    private UsageRow row(long hour) {
        List<UsageBucket> ofHour = new ArrayList<>();
        buckets.subMap(hour, hour + HOUR_MILLIS)
                .forEach((start, queues) -> ofHour.add(new UsageBucket(start, queues)));
        return new UsageRow(vm, process, hour, ofHour);
    }

    private void forgetOld(long hour) {
        long oldest = hour - (MOST_HOURS - 1) * HOUR_MILLIS;
        buckets.headMap(oldest).clear();
        changedHours.removeIf(h -> h < oldest);
    }

    private static long hourOf(long millis) {
        return millis / HOUR_MILLIS * HOUR_MILLIS;
    }
}
