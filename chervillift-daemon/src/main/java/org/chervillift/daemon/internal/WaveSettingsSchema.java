package org.chervillift.daemon.internal;

import java.time.Duration;
import java.util.List;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;

/** The {@code waves} section of the settings file: maintenance waves. */
final class WaveSettingsSchema {

    private static final String SECTION = "waves";
    private static final SettingType DURATION_UP_TO_ONE_DAY =
            new SettingType.Millis(Duration.ZERO, Duration.ofDays(1));
    private static final SettingType COUNT_FROM_ZERO = new SettingType.WholeNumber(0, 1_000);
    private static final SettingType COUNT_FROM_ONE = new SettingType.WholeNumber(1, 1_000);
    private static final double VM_DAYS_PER_RATE_UNIT = 1_000;

    /** The settings of the section. */
    static final List<Setting> SETTINGS =
            List.of(
                    waveSetting(
                            "settle-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "5000",
                            "How long a VM must have been draining before it may be rebooted."),
                    waveSetting(
                            "drain-report-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "600000",
                            "How long a drain may last before it is reported."),
                    waveSetting(
                            "return-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "600000",
                            "How long a VM may take to come back."),
                    waveSetting(
                            "fail-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "15000",
                            "How long a VM must fail to accept work before it counts as failed."),
                    waveSetting(
                            "probation-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "600000",
                            "How long a returned VM counts as at risk."),
                    waveSetting(
                            "proven-after",
                            COUNT_FROM_ONE,
                            "2",
                            "How many VMs of a pool must pass probation before others need none."),
                    waveSetting(
                            "reserve",
                            COUNT_FROM_ZERO,
                            "1",
                            "VMs kept in reserve for failures if the budget exceeds one VM."),
                    waveSetting(
                            "failures-per-1000-vm-days",
                            COUNT_FROM_ONE,
                            "10",
                            "The expected failures of 1,000 VMs in a day."));

    private WaveSettingsSchema() {}

    private static Setting waveSetting(
            String name, SettingType type, String defaultValue, String meaning) {
        return Setting.optional(SECTION, name, type, defaultValue, meaning);
    }

    /** Converts validated values; settings that the file cannot change have their defaults. */
    static WaveSettings read(Settings s) {
        return new WaveSettings(
                s.duration("waves.settle-ms"),
                s.duration("waves.drain-report-ms"),
                s.duration("waves.return-ms"),
                s.duration("waves.fail-ms"),
                WaveSettings.DEFAULT.healthMostAge(),
                WaveSettings.DEFAULT.failedHold(),
                s.duration("waves.probation-ms"),
                s.number("waves.proven-after"),
                s.number("waves.reserve"),
                s.number("waves.failures-per-1000-vm-days") / VM_DAYS_PER_RATE_UNIT);
    }
}
