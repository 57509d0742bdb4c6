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
 * Counts the answers of one process by queue and time bucket until they are saved.
 *
 * <p>Not thread-safe: used by one thread. Holds at most {@link #MAX_UNSAVED_HOURS} unsaved hours
 * and drops the oldest first.
 */
public final class UsageRecorder {

    /** The maximum number of hours held while the platform is unavailable. */
    public static final int MAX_UNSAVED_HOURS = 24;

    /** Refusals caused by the caller, which do not count against objectives. */
    private static final Set<ErrorCode> CALLER_ERRORS =
            Set.copyOf(
                    EnumSet.of(
                            ErrorCode.BAD_REQUEST,
                            ErrorCode.KEY_REFUSED,
                            ErrorCode.UNKNOWN_QUEUE,
                            ErrorCode.TEAM_LIMIT,
                            ErrorCode.IDENTIFIER_REUSED,
                            ErrorCode.TOO_LARGE));

    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();

    private final String vm;
    private final String process;
    private final TreeMap<Long, Map<String, QueueUsage>> usageByBucketStart = new TreeMap<>();
    private final Set<Long> unsavedHours = new HashSet<>();

    /** Creates a recorder for a process on an entry VM. */
    public UsageRecorder(String vm, String process) {
        this.vm = Checks.notBlank("vm", vm);
        this.process = Checks.notBlank("process", process);
    }

    /** Counts an answer for a queue that has an objective. */
    public void record(Objective objective, AnswerOutcome outcome, Instant now) {
        long bucketStart = UsageBucket.startOf(now);
        usageByBucketStart
                .computeIfAbsent(bucketStart, s -> new HashMap<>())
                .merge(objective.queue(), usageOf(objective, outcome), QueueUsage::plus);
        unsavedHours.add(startOfHour(bucketStart));
        dropOldHours(startOfHour(bucketStart));
    }

    private static QueueUsage usageOf(Objective objective, AnswerOutcome outcome) {
        return switch (outcome) {
            case AnswerOutcome.Answered a -> {
                boolean good =
                        a.status() < MIN_SERVER_ERROR_STATUS
                                && a.took().toMillis() <= objective.withinMillis();
                yield new QueueUsage(good ? 1 : 0, good ? 0 : 1, Map.of());
            }
            case AnswerOutcome.Refused r -> {
                long bad = CALLER_ERRORS.contains(r.code()) ? 0 : 1;
                yield new QueueUsage(0, bad, Map.of(r.code().number(), 1L));
            }
        };
    }

    /** Returns the rows with counts that are not saved yet, oldest first. */
    public List<UsageRow> unsavedRows() {
        return unsavedHours.stream().sorted().map(this::rowOfHour).toList();
    }

    /** Marks a row as saved, unless its counts have changed since it was returned. */
    public void markSaved(UsageRow row) {
        if (rowOfHour(row.hourMillis()).equals(row)) {
            unsavedHours.remove(row.hourMillis());
        }
    }

    private UsageRow rowOfHour(long hour) {
        List<UsageBucket> bucketsOfHour = new ArrayList<>();
        usageByBucketStart
                .subMap(hour, hour + HOUR_MILLIS)
                .forEach((start, queues) -> bucketsOfHour.add(new UsageBucket(start, queues)));
        return new UsageRow(vm, process, hour, bucketsOfHour);
    }

    private void dropOldHours(long hour) {
        long oldest = hour - (MAX_UNSAVED_HOURS - 1) * HOUR_MILLIS;
        usageByBucketStart.headMap(oldest).clear();
        unsavedHours.removeIf(h -> h < oldest);
    }

    private static long startOfHour(long millis) {
        return millis / HOUR_MILLIS * HOUR_MILLIS;
    }
}
