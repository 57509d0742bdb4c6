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
 * @param vmId the identifier of this VM in the platform's list
 * @param dataCentre the data centre that this VM stands in
 * @param callerAddress where callers' requests are taken
 * @param controlAddress where health, metrics and operators' requests are taken
 * @param platformAddress where the platform answers
 * @param platformTimeout the bound on one call to the platform
 * @param refresh the time between two reads of the platform
 * @param drainDelay the time between not ready and the end of taking requests
 * @param drainBound the longest wait for running requests at shutdown
 * @param upstreamTimeout the bound on the wait for an upstream's answer
 * @param mostBodyKib the largest body of a request or an answer, in KiB
 * @param reportSave the time between two saves of the counts for the report
 * @param waves the settings of maintenance waves
 * @param limits the settings of the upper limits of teams
 * @param operators who may act as an operator
 * @param peers how this daemon meets its peers
 */
public record DaemonSettings(
        String vmId,
        String dataCentre,
        HostPort callerAddress,
        HostPort controlAddress,
        HostPort platformAddress,
        Duration platformTimeout,
        Duration refresh,
        Duration drainDelay,
        Duration drainBound,
        Duration upstreamTimeout,
        int mostBodyKib,
        Duration reportSave,
        WaveSettings waves,
        LimitSettings limits,
        OperatorCredentials operators,
        PeerSettings peers) {

    private static final Duration ONE_MILLI = Duration.ofMillis(1);
    private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
    private static final Duration ONE_HOUR = Duration.ofHours(1);
    private static final int MOST_BODY_KIB = 8_192;

    private static final List<Setting> FRAME =
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
                            "The data centre that this VM stands in."),
                    Setting.required(
                            "callers",
                            "address",
                            new SettingType.Address(),
                            "Where callers' requests are taken."),
                    Setting.optional(
                            "callers",
                            "most-body-kib",
                            new SettingType.WholeNumber(1, MOST_BODY_KIB),
                            "1024",
                            "The largest body of a request or an answer, in KiB."),
                    Setting.required(
                            "control",
                            "address",
                            new SettingType.Address(),
                            "Where health, metrics and operators' requests are taken."),
                    Setting.required(
                            "control",
                            "operators",
                            new SettingType.Text(),
                            "Each operator as NAME:SHA256 of the credential, with commas"
                                    + " between them."),
                    Setting.required(
                            "platform",
                            "address",
                            new SettingType.Address(),
                            "Where the platform answers."),
                    Setting.optional(
                            "platform",
                            "timeout-ms",
                            new SettingType.Millis(ONE_MILLI, ONE_MINUTE),
                            "1000",
                            "The bound on one call to the platform."),
                    Setting.optional(
                            "platform",
                            "refresh-ms",
                            new SettingType.Millis(Duration.ofMillis(50), ONE_MINUTE),
                            "1000",
                            "The time between two reads of the platform."),
                    Setting.optional(
                            "report",
                            "save-ms",
                            new SettingType.Millis(Duration.ofSeconds(1), ONE_HOUR),
                            "60000",
                            "The time between two saves of the counts for the report."),
                    Setting.optional(
                            "shutdown",
                            "delay-ms",
                            new SettingType.Millis(Duration.ZERO, ONE_MINUTE),
                            "2000",
                            "The time between not ready and the end of taking requests."),
                    Setting.optional(
                            "shutdown",
                            "bound-ms",
                            new SettingType.Millis(Duration.ZERO, ONE_HOUR),
                            "60000",
                            "The longest wait for running requests at shutdown."),
                    Setting.optional(
                            "upstreams",
                            "timeout-ms",
                            new SettingType.Millis(ONE_MILLI, ONE_HOUR),
                            "30000",
                            "The bound on the wait for an upstream's answer."));

    /** All settings, with what is allowed. */
    public static final SettingsSchema SCHEMA =
            new SettingsSchema(
                    Stream.of(
                                    FRAME,
                                    WaveSettingsSchema.SETTINGS,
                                    LimitSettingsSchema.SETTINGS,
                                    PeerSettings.SCHEMA)
                            .flatMap(List::stream)
                            .toList());

    /** Returns the settings of the daemon from checked values. */
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
