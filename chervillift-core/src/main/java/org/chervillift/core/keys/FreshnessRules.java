package org.chervillift.core.keys;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The timing rules that decide whether a key ring is fresh enough to accept keyed requests, which
 * are requests authenticated with a team's key.
 *
 * @param maxWithdrawalDelay the maximum time after the operator's answer until new requests with a
 *     withdrawn key are refused
 * @param clockRateMargin subtracted from that time because clocks run at different rates
 * @param promiseDuration how long a process promises not to acknowledge a withdrawal; a withdrawal
 *     waits for promises to end
 * @param storeContactTimeout after this time without an answer from the store, a process gives
 *     promises
 * @param membershipLease how long after its last renewal a member relies on promises
 * @param maxWallClockSkew the maximum difference between the wall clocks of two processes
 * @param promisesEnabled whether processes promise each other not to acknowledge a withdrawal
 */
public record FreshnessRules(
        Duration maxWithdrawalDelay,
        Duration clockRateMargin,
        Duration promiseDuration,
        Duration storeContactTimeout,
        Duration membershipLease,
        Duration maxWallClockSkew,
        boolean promisesEnabled) {

    /** The rules used in production. */
    public static final FreshnessRules DEFAULT =
            new FreshnessRules(
                    Duration.ofSeconds(5),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(2),
                    Duration.ofMinutes(15),
                    Duration.ofMinutes(1),
                    true);

    /**
     * The default rules without promises: a process then depends on the store or on a peer that
     * reads it.
     */
    public static final FreshnessRules WITHOUT_PROMISES = DEFAULT.withoutPromises();

    public FreshnessRules {
        Checks.that(
                maxWithdrawalDelay.compareTo(clockRateMargin) > 0,
                "maxWithdrawalDelay must be longer than clockRateMargin");
        Checks.that(promiseDuration.isPositive(), "promiseDuration must be positive");
        Checks.that(storeContactTimeout.isPositive(), "storeContactTimeout must be positive");
        Checks.that(membershipLease.isPositive(), "membershipLease must be positive");
        Checks.that(!maxWallClockSkew.isNegative(), "maxWallClockSkew must not be negative");
    }

    /** Returns the same rules without promises. */
    public FreshnessRules withoutPromises() {
        return new FreshnessRules(
                maxWithdrawalDelay,
                clockRateMargin,
                promiseDuration,
                storeContactTimeout,
                membershipLease,
                maxWallClockSkew,
                false);
    }

    /** Returns how long a ring counts as fresh after the start of the read that returned it. */
    public Duration readLease() {
        return maxWithdrawalDelay.minus(clockRateMargin);
    }
}
