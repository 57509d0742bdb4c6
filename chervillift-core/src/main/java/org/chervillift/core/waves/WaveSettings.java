package org.chervillift.core.waves;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The settings of maintenance waves.
 *
 * @param settle the minimum time that a VM drains before it is rebooted
 * @param drainReportAfter how long a drain lasts before it is reported
 * @param returnTimeout how long a VM may take to return
 * @param failAfter how long a VM must not report that it accepts requests before it counts as
 *     failed
 * @param healthMostAge the maximum age of the last health check
 * @param failedHold the minimum time that a failed VM stays out of service
 * @param probation how long a returned VM counts as at risk of failing
 * @param provenAfter how many VMs of a pool must have passed probation before VMs on probation
 *     count as available
 * @param reserve the number of VMs kept in reserve for failures, if the budget allows more than one
 *     VM out
 * @param failuresPerVmDay the expected failures of a VM in a day
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

    /** The defaults. */
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
