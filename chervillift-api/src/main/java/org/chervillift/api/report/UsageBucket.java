package org.chervillift.api.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.chervillift.api.Checks;

/**
 * Answers in one bucket of time, by queue.
 *
 * @param startMillis the start of the bucket, in milliseconds since 1970 UTC
 * @param queues the answers, by queue
 */
public record UsageBucket(long startMillis, Map<String, QueueUsage> queues) {

    /** The length of a bucket. */
    public static final Duration LENGTH = Duration.ofMinutes(5);

    public UsageBucket {
        Checks.notNegative("startMillis", startMillis);
        queues = Map.copyOf(queues);
    }

    /** Returns the start of the bucket that a moment lies in. */
    public static long startOf(Instant moment) {
        return moment.toEpochMilli() / LENGTH.toMillis() * LENGTH.toMillis();
    }
}
