package org.chervillift.daemon.internal;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.daemon.internal.peers.PeerSettings;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;
import org.chervillift.runtime.settings.SettingsSchema;

/**
 * The settings of the daemon.
 *
 * @param vmId the identifier of this VM in the platform's VM list
 * @param dataCentre the data centre of this VM
 * @param callerAddress the address on which callers' requests are accepted
 * @param controlAddress the address that serves health, metrics and operators' requests
 * @param platformAddress the address of the platform
 * @param platformTimeout the timeout of one call to the platform
 * @param refreshInterval the interval between reads of the platform
 * @param drainDelay how long a daemon that is shutting down, and reports not ready, still accepts
 *     requests
 * @param drainTimeout the maximum wait for running requests at shutdown, after the delay
 * @param upstreamTimeout the time limit of a request whose caller states none
 * @param maxBodyKib the maximum size of a request or response body, in KiB
 * @param reportSaveInterval the interval between saves of the counts for the report
 * @param waves the settings of maintenance waves
 * @param limits the settings of the teams' upper limits
 * @param operators the credentials of the operators
 * @param peers the settings of the connections to peers
 */
public record DaemonSettings(
        String vmId,
        String dataCentre,
        HostPort callerAddress,
        HostPort controlAddress,
        HostPort platformAddress,
        Duration platformTimeout,
        Duration refreshInterval,
        Duration drainDelay,
        Duration drainTimeout,
        Duration upstreamTimeout,
        int maxBodyKib,
        Duration reportSaveInterval,
        WaveSettings waves,
        LimitSettings limits,
        OperatorCredentials operators,
        PeerSettings peers) {

    private static final Duration ONE_MILLI = Duration.ofMillis(1);
    private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
    private static final Duration ONE_HOUR = Duration.ofHours(1);
    private static final int MAX_BODY_KIB = 8_192;

    private static final List<Setting> GENERAL_SETTINGS =
            List.of(
                    Setting.required(
                            "vm",
                            "id",
                            new SettingType.Text(),
                            "The identifier of this VM in the platform's list."),
                    Setting.required(
                            "vm",
                            "data-centre",
                            new SettingType.Text(),
                            "The data centre of this VM."),
                    Setting.required(
                            "callers",
                            "address",
                            new SettingType.Address(),
                            "The address on which callers' requests are accepted."),
                    Setting.optional(
                            "callers",
                            "most-body-kib",
                            new SettingType.WholeNumber(1, MAX_BODY_KIB),
                            "1024",
                            "The maximum size of a request or response body, in KiB."),
                    Setting.required(
                            "control",
                            "address",
                            new SettingType.Address(),
                            "The address that serves health, metrics and operators' requests."),
                    Setting.required(
                            "control",
                            "operators",
                            new SettingType.Text(),
                            "Each operator as NAME:SHA256 of the credential,"
                                    + " separated by commas."),
                    Setting.required(
                            "platform",
                            "address",
                            new SettingType.Address(),
                            "The address of the platform."),
                    Setting.optional(
                            "platform",
                            "timeout-ms",
                            new SettingType.Millis(ONE_MILLI, ONE_MINUTE),
                            "1000",
                            "The timeout of one call to the platform."),
                    Setting.optional(
                            "platform",
                            "refresh-ms",
                            new SettingType.Millis(Duration.ofMillis(50), ONE_MINUTE),
                            "1000",
                            "The interval between reads of the platform."),
                    Setting.optional(
                            "report",
                            "save-ms",
                            new SettingType.Millis(Duration.ofSeconds(1), ONE_HOUR),
                            "60000",
                            "The interval between saves of the counts for the report."),
                    Setting.optional(
                            "shutdown",
                            "delay-ms",
                            new SettingType.Millis(Duration.ZERO, ONE_MINUTE),
                            "2000",
                            "How long a daemon that is shutting down still accepts requests."),
                    Setting.optional(
                            "shutdown",
                            "bound-ms",
                            new SettingType.Millis(Duration.ZERO, ONE_HOUR),
                            "60000",
                            "The maximum wait for running requests at shutdown."),
                    Setting.optional(
                            "upstreams",
                            "timeout-ms",
                            new SettingType.Millis(ONE_MILLI, ONE_HOUR),
                            "30000",
                            "The time limit of a request whose caller states none."));

    /** All settings with their types, defaults and meanings. */
    public static final SettingsSchema SCHEMA =
            new SettingsSchema(
                    Stream.of(
                                    GENERAL_SETTINGS,
                                    WaveSettingsSchema.SETTINGS,
                                    LimitSettingsSchema.SETTINGS,
                                    PeerSettings.SCHEMA)
                            .flatMap(List::stream)
                            .toList());

    /** Converts validated values to the settings of the daemon. */
    public static DaemonSettings from(Settings s) {
        return new DaemonSettings(
                s.text("vm.id"),
                s.text("vm.data-centre"),
                s.address("callers.address"),
                s.address("control.address"),
                s.address("platform.address"),
                s.duration("platform.timeout-ms"),
                s.duration("platform.refresh-ms"),
                s.duration("shutdown.delay-ms"),
                s.duration("shutdown.bound-ms"),
                s.duration("upstreams.timeout-ms"),
                s.number("callers.most-body-kib"),
                s.duration("report.save-ms"),
                WaveSettingsSchema.read(s),
                LimitSettingsSchema.read(s),
                OperatorCredentials.parse(s.text("control.operators")),
                PeerSettings.from(s));
    }
}
