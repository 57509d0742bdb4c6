package org.chervillift.daemon.internal;

import java.time.Duration;
import java.util.List;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;

/** The section of the settings file about maintenance waves. */
final class WaveSettingsSchema {

    private static final String SECTION = "waves";
    private static final SettingType TIME =
            new SettingType.Millis(Duration.ZERO, Duration.ofDays(1));
    private static final SettingType COUNT = new SettingType.WholeNumber(0, 1_000);
    private static final SettingType COUNT_FROM_ONE = new SettingType.WholeNumber(1, 1_000);
    private static final double DAYS_OF_RATE = 1_000;

    /** The settings of waves. */
    static final List<Setting> SETTINGS =
            List.of(
                    setting(
                            "settle-ms",
                            TIME,
                            "5000",
                            "How long a VM must have been draining before it may be rebooted."),
                    setting(
                            "drain-report-ms",
                            TIME,
                            "600000",
                            "How long a drain may last before it is reported."),
                    setting("return-ms", TIME, "600000", "How long a VM may take to come back."),
                    setting(
                            "fail-ms",
                            TIME,
                            "15000",
                            "How long a VM must not take work before it counts as failed."),
                    setting(
                            "probation-ms",
                            TIME,
                            "600000",
                            "How long a returned VM counts as at risk."),
                    setting(
                            "proven-after",
                            COUNT_FROM_ONE,
                            "2",
                            "How many VMs of a pool must pass probation before it is waived."),
                    setting(
                            "reserve",
                            COUNT,
                            "1",
                            "VMs kept back for failures where the budget leaves more than one."),
                    setting(
                            "failures-per-1000-vm-days",
                            COUNT_FROM_ONE,
                            "10",
                            "The failures to expect of 1,000 VMs in a day."));

    private WaveSettingsSchema() {}

    private static Setting setting(
            String name, SettingType type, String defaultValue, String meaning) {
        return Setting.optional(SECTION, name, type, defaultValue, meaning);
    }

    /** Returns the settings of waves from checked values. */
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
                s.number("waves.failures-per-1000-vm-days") / DAYS_OF_RATE);
    }
}
