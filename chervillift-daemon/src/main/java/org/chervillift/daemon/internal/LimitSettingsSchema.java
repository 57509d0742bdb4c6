package org.chervillift.daemon.internal;

import java.time.Duration;
import java.util.List;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;

/** The section of the settings file about the upper limits of teams. */
final class LimitSettingsSchema {

    private static final String SECTION = "limits";
    private static final SettingType LEASE =
            new SettingType.Millis(Duration.ofSeconds(31), Duration.ofDays(7));
    private static final SettingType TIME =
            new SettingType.Millis(Duration.ZERO, Duration.ofDays(1));
    private static final SettingType PERCENT = new SettingType.WholeNumber(0, 100);

    /** The settings of upper limits. */
    static final List<Setting> SETTINGS =
            List.of(
                    setting(
                            "lease-ms",
                            LEASE,
                            "3600000",
                            "How long permits may be used while the platform does not answer."),
                    setting(
                            "clock-error-ms",
                            TIME,
                            "1000",
                            "The greatest difference between the clocks of two VMs."),
                    setting(
                            "longest-pause-ms",
                            TIME,
                            "60000",
                            "The longest pause of a process between lease check and send."),
                    setting(
                            "longest-run-ms",
                            TIME,
                            "120000",
                            "The hard bound of a request's run at an upstream."),
                    setting(
                            "reserve-percent",
                            PERCENT,
                            "10",
                            "The part of each limit, over all VMs, that is kept while idle."));

    private LimitSettingsSchema() {}

    private static Setting setting(
            String name, SettingType type, String defaultValue, String meaning) {
        return Setting.optional(SECTION, name, type, defaultValue, meaning);
    }

    /** Returns the settings of upper limits from checked values. */
    static LimitSettings read(Settings s) {
        LimitSettings rest = LimitSettings.DEFAULT;
        return new LimitSettings(
                s.duration("limits.lease-ms"),
                rest.renewInterval(),
                s.duration("limits.clock-error-ms"),
                s.duration("limits.longest-pause-ms"),
                s.duration("limits.longest-run-ms"),
                rest.idleReturnDelay(),
                rest.pollInterval(),
                rest.minRequestSpacing(),
                s.number("limits.reserve-percent"),
                rest.batch());
    }
}
