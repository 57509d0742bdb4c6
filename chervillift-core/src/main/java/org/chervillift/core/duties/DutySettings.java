package org.chervillift.core.duties;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The durations that control a duty's lease.
 *
 * @param leaseDuration how long a lease lasts
 * @param renewBefore how long before its expiry a lease is renewed
 * @param standbyDelay how long after the expiry of a lease a process of another data centre waits
 *     before it takes the duty
 */
public record DutySettings(Duration leaseDuration, Duration renewBefore, Duration standbyDelay) {

    /** The defaults. */
    public static final DutySettings DEFAULT =
            new DutySettings(Duration.ofSeconds(15), Duration.ofSeconds(8), Duration.ofSeconds(20));

    public DutySettings {
        Checks.that(
                renewBefore.compareTo(leaseDuration) < 0,
                "renewBefore must be shorter than leaseDuration");
        Checks.that(!standbyDelay.isNegative(), "standbyDelay must not be negative");
    }
}
