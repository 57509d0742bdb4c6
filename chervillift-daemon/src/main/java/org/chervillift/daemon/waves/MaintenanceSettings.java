package org.chervillift.daemon.waves;

import java.time.Duration;
import org.chervillift.api.Checks;
import org.chervillift.core.duties.DutySettings;
import org.chervillift.core.waves.WaveSettings;

/**
 * The settings of the maintenance duties of one process.
 *
 * @param holder the name of the process as the holder of duties, unique among all starts of all
 *     processes
 * @param dataCentre the data centre of the process
 * @param waveSettings the settings of waves
 * @param dutySettings the durations that control the leases of duties
 * @param roundInterval the time between two rounds while nothing changes
 */
public record MaintenanceSettings(
        String holder,
        String dataCentre,
        WaveSettings waveSettings,
        DutySettings dutySettings,
        Duration roundInterval) {

    /** The default time between two rounds while nothing changes. */
    public static final Duration DEFAULT_ROUND_INTERVAL = Duration.ofSeconds(5);

    public MaintenanceSettings {
        Checks.notBlank("holder", holder);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notNull("waveSettings", waveSettings);
        Checks.notNull("dutySettings", dutySettings);
        Checks.notNull("roundInterval", roundInterval);
    }
}
