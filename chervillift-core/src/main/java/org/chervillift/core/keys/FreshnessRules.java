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
 */
public record FreshnessRules(
        Duration withdrawalBound,
        Duration clockMargin,
        Duration promise,
        Duration contactLost,
        Duration longestVouching,
        Duration wallClockError) {

    /** The rules that the product runs with. */
    public static final FreshnessRules STANDARD =
            new FreshnessRules(
                    Duration.ofSeconds(5),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(2),
                    Duration.ofMinutes(15),
                    Duration.ofMinutes(1));

    public FreshnessRules {
        Checks.that(
                withdrawalBound.compareTo(clockMargin) > 0,
                "withdrawalBound must be longer than clockMargin");
        Checks.that(promise.isPositive(), "promise must be positive");
        Checks.that(contactLost.isPositive(), "contactLost must be positive");
        Checks.that(longestVouching.isPositive(), "longestVouching must be positive");
        Checks.that(!wallClockError.isNegative(), "wallClockError must not be negative");
    }

    /** Returns how long the answer of a read counts, from the start of the read. */
    public Duration lease() {
        return withdrawalBound.minus(clockMargin);
    }
}
