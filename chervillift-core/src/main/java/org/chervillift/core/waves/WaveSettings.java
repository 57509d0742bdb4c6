package org.chervillift.core.waves;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The settings of maintenance waves.
 *
 * @param settle how long a VM must have been draining before it may be rebooted
 * @param drainReportAfter how long a drain may last before it is reported
 * @param returnTimeout how long a VM may take to come back
 * @param failAfter how long a VM must not have been seen to take work before it counts as failed
 * @param healthMostAge how old the last look at the VMs may be
 * @param failedHold how long a failed VM stays out at least
 * @param probation how long a returned VM counts as at risk
 * @param provenAfter how many VMs of a pool must have passed probation before it is waived
 * @param reserve VMs that are kept back for failures, where the budget leaves more than one
 * @param failuresPerVmDay the failures to expect of a VM in a day
 */
public record WaveSettings(
        Duration settle,
        Duration drainReportAfter,
        Duration returnTimeout,
        Duration failAfter,
        Duration healthMostAge,
        Duration failedHold,
        Duration probation,
        int provenAfter,
        int reserve,
        double failuresPerVmDay) {

    /** The settings where the file says nothing. */
    public static final WaveSettings DEFAULT =
            new WaveSettings(
                    Duration.ofSeconds(5),
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(10),
                    Duration.ofSeconds(15),
                    Duration.ofSeconds(10),
                    Duration.ofMinutes(1),
                    Duration.ofMinutes(10),
                    2,
                    1,
                    0.01);

    public WaveSettings {
        Checks.notNull("settle", settle);
        Checks.notNull("drainReportAfter", drainReportAfter);
        Checks.notNull("returnTimeout", returnTimeout);
        Checks.notNull("failAfter", failAfter);
        Checks.notNull("healthMostAge", healthMostAge);
        Checks.notNull("failedHold", failedHold);
        Checks.notNull("probation", probation);
        Checks.inRange("provenAfter", provenAfter, 1, 1_000);
        Checks.inRange("reserve", reserve, 0, 1_000);
        Checks.that(failuresPerVmDay > 0, "failuresPerVmDay must be positive");
    }
}
