package org.chervillift.core.duties;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The times of a duty's lease.
 *
 * @param leaseDuration how long a lease lasts
 * @param renewBefore how long before its end a lease is renewed
 * @param standbyDelay how long a process of another data centre waits after a lease has lapsed
 */
public record DutySettings(Duration leaseDuration, Duration renewBefore, Duration standbyDelay) {

    /** The times where the settings say nothing. */
    public static final DutySettings DEFAULT =
            new DutySettings(Duration.ofSeconds(15), Duration.ofSeconds(8), Duration.ofSeconds(20));

    public DutySettings {
        Checks.that(
                renewBefore.compareTo(leaseDuration) < 0, "renewBefore must be shorter than lease");
        Checks.that(!standbyDelay.isNegative(), "standbyDelay must not be negative");
    }
}
