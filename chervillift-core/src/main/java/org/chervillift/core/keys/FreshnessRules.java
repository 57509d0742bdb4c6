package org.chervillift.core.keys;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The times by which keyed work depends on a fresh ring.
 *
 * @param withdrawalBound a withdrawn key takes no new work after this time from the operator's
 *     answer
 * @param clockMargin what is taken off for clocks that run at different rates
 * @param promise how long one promise lasts; a withdrawal waits for promises to end
 * @param contactLost after this time without an answer of the store a process gives promises
 * @param longestVouching how long after its last renewal a member relies on promises
 * @param wallClockError how far the wall clocks of two processes may be apart
 * @param vouching whether processes promise each other that they answer no withdrawal
 */
public record FreshnessRules(
        Duration withdrawalBound,
        Duration clockMargin,
        Duration promise,
        Duration contactLost,
        Duration longestVouching,
        Duration wallClockError,
        boolean vouching) {

    /** The rules that the product runs with. */
    public static final FreshnessRules STANDARD =
            new FreshnessRules(
                    Duration.ofSeconds(5),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(2),
                    Duration.ofMinutes(15),
                    Duration.ofMinutes(1),
                    true);

    /**
     * The same without promises: a process then depends on the store or on a peer that reads it.
     */
    public static final FreshnessRules WITHOUT_VOUCHING = STANDARD.withoutVouching();

    public FreshnessRules {
        Checks.that(
                withdrawalBound.compareTo(clockMargin) > 0,
                "withdrawalBound must be longer than clockMargin");
        Checks.that(promise.isPositive(), "promise must be positive");
        Checks.that(contactLost.isPositive(), "contactLost must be positive");
        Checks.that(longestVouching.isPositive(), "longestVouching must be positive");
        Checks.that(!wallClockError.isNegative(), "wallClockError must not be negative");
    }

    /** Returns the same rules without promises. */
    public FreshnessRules withoutVouching() {
        return new FreshnessRules(
                withdrawalBound,
                clockMargin,
                promise,
                contactLost,
                longestVouching,
                wallClockError,
                false);
    }

    /** Returns how long the answer of a read counts, from the start of the read. */
    public Duration lease() {
        return withdrawalBound.minus(clockMargin);
    }
}
