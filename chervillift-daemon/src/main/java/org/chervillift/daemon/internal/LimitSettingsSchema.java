package org.chervillift.daemon.internal;

import java.time.Duration;
import java.util.List;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;

/** The {@code limits} section of the settings file: the teams' upper limits. */
final class LimitSettingsSchema {

    private static final String SECTION = "limits";
    private static final SettingType LEASE_DURATION =
            new SettingType.Millis(Duration.ofSeconds(31), Duration.ofDays(7));
    private static final SettingType DURATION_UP_TO_ONE_DAY =
            new SettingType.Millis(Duration.ZERO, Duration.ofDays(1));
    private static final SettingType PERCENT = new SettingType.WholeNumber(0, 100);

    /** The settings of the section. */
    static final List<Setting> SETTINGS =
            List.of(
                    limitSetting(
                            "lease-ms",
                            LEASE_DURATION,
                            "3600000",
                            "How long permits may be used while the platform does not respond."),
                    limitSetting(
                            "clock-error-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "1000",
                            "The assumed maximum difference between the clocks of two VMs."),
                    limitSetting(
                            "longest-pause-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "60000",
                            "The assumed longest pause of a process between lease check and send."),
                    limitSetting(
                            "longest-run-ms",
                            DURATION_UP_TO_ONE_DAY,
                            "120000",
                            "The longest time that a request can run at an upstream."),
                    limitSetting(
                            "reserve-percent",
                            PERCENT,
                            "10",
                            "The percentage of each limit that all VMs together keep while idle."));

    private LimitSettingsSchema() {}

    private static Setting limitSetting(
            String name, SettingType type, String defaultValue, String meaning) {
        return Setting.optional(SECTION, name, type, defaultValue, meaning);
    }

    /** Converts validated values; settings that the file cannot change have their defaults. */
    static LimitSettings read(Settings s) {
        LimitSettings defaults = LimitSettings.DEFAULT;
        return new LimitSettings(
                s.duration("limits.lease-ms"),
                defaults.renewInterval(),
                s.duration("limits.clock-error-ms"),
                s.duration("limits.longest-pause-ms"),
                s.duration("limits.longest-run-ms"),
                defaults.idleReturnDelay(),
                defaults.pollInterval(),
                defaults.minRequestSpacing(),
                s.number("limits.reserve-percent"),
                defaults.batch());
    }
}
