package org.chervillift.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;

/**
 * Decides whether and when a failed attempt is made again.
 *
 * @param mostAttempts attempts of one request, the first one counted
 * @param initialDelay the upper end of the delay before the second attempt; doubles each time
 * @param maxDelay the upper end of any delay
 * @param minTimeLeft time that must be left before the deadline when the attempt starts
 */
public record RetryPolicy(
        int mostAttempts, Duration initialDelay, Duration maxDelay, Duration minTimeLeft) {

    /** Four attempts within a few hundred milliseconds. */
    public static final RetryPolicy DEFAULT =
            new RetryPolicy(
                    4, Duration.ofMillis(10), Duration.ofMillis(200), Duration.ofMillis(20));

    private static final int MAX_DOUBLINGS = 20;

    public RetryPolicy {
        Checks.inRange("mostAttempts", mostAttempts, 1, 100);
        Checks.that(initialDelay.isPositive(), "firstDelay must be positive");
        Checks.that(maxDelay.compareTo(initialDelay) >= 0, "longestDelay below firstDelay");
        Checks.that(!minTimeLeft.isNegative(), "leastUseful must not be negative");
    }

    /**
     * Decides after a failed attempt. Takes a token of the budget if it answers {@link Retry}.
     *
     * @param attempts attempts made so far
     * @param deadline when the caller stops waiting
     * @param budget the budget of retries
     * @param random the source of the jitter
     * @param now the present time
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
        long most = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
        return Duration.ofNanos(random.nextLong(most + 1));
    }

    /** What to do after a failed attempt. */
    public sealed interface RetryDecision {}

    /**
     * Make the attempt again.
     *
     * @param delay how long to wait first
     */
    public record Retry(Duration delay) implements RetryDecision {}

    /** Answer the caller now. */
    public record GiveUp() implements RetryDecision {}
}
