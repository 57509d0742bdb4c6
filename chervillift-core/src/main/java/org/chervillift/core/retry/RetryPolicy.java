package org.chervillift.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;

/**
 * Decides whether and when a failed attempt is retried, with exponential backoff and jitter.
 *
 * @param mostAttempts the maximum number of attempts for one request, including the first
 * @param initialDelay the upper bound of the delay before the second attempt; doubles each time
 * @param maxDelay the upper bound of every delay
 * @param minTimeLeft the time that must be left until the deadline when an attempt starts
 */
public record RetryPolicy(
        int mostAttempts, Duration initialDelay, Duration maxDelay, Duration minTimeLeft) {

    /** The defaults: four attempts within a few hundred milliseconds. */
    public static final RetryPolicy DEFAULT =
            new RetryPolicy(
                    4, Duration.ofMillis(10), Duration.ofMillis(200), Duration.ofMillis(20));

    private static final int MAX_DOUBLINGS = 20;

    public RetryPolicy {
        Checks.inRange("mostAttempts", mostAttempts, 1, 100);
        Checks.that(initialDelay.isPositive(), "initialDelay must be positive");
        Checks.that(
                maxDelay.compareTo(initialDelay) >= 0, "maxDelay must not be below initialDelay");
        Checks.that(!minTimeLeft.isNegative(), "minTimeLeft must not be negative");
    }

    /**
     * Decides after a failed attempt. Takes a token from the budget if it returns {@link Retry}.
     *
     * @param attempts the attempts made so far
     * @param deadline the time until which the caller waits
     * @param budget the retry budget
     * @param random the source of the jitter
     * @param now the current time
     */
    public RetryDecision afterFailure(
            int attempts,
            Instant deadline,
            RetryBudget budget,
            RandomGenerator random,
            Instant now) {
        if (attempts >= mostAttempts) {
            return new GiveUp();
        }
        Duration delay = fullJitter(attempts, random);
        if (now.plus(delay).plus(minTimeLeft).isAfter(deadline) || !budget.tryTakeRetry()) {
            return new GiveUp();
        }
        return new Retry(delay);
    }

    private Duration fullJitter(int attempts, RandomGenerator random) {
        int doublings = Math.min(attempts - 1, MAX_DOUBLINGS);
        long maxNanos = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
        return Duration.ofNanos(random.nextLong(maxNanos + 1));
    }

    /** What to do after a failed attempt. */
    public sealed interface RetryDecision {}

    /**
     * Retry the attempt.
     *
     * @param delay how long to wait before the retry
     */
    public record Retry(Duration delay) implements RetryDecision {}

    /** Do not retry; the request fails now. */
    public record GiveUp() implements RetryDecision {}
}
