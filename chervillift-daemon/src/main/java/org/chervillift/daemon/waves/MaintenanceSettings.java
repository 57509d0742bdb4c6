package org.chervillift.daemon.waves;

import java.time.Duration;
import org.chervillift.api.Checks;
import org.chervillift.core.duties.DutySettings;
import org.chervillift.core.waves.WaveSettings;

/**
 * The settings of the maintenance duties of one process.
 *
 * @param self the process, with a name that no other run of a process has
 * @param dataCentre the data centre that the process stands in
 * @param waves the settings of waves
 * @param duties the times of leases
 * @param interval the time between two rounds
 */
public record MaintenanceSettings(
        String self,
        String dataCentre,
        WaveSettings waves,
        DutySettings duties,
        Duration interval) {

    /** The time between two rounds where the settings say nothing. */
    public static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(5);

    public MaintenanceSettings {
        Checks.notBlank("self", self);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notNull("waves", waves);
        Checks.notNull("duties", duties);
        Checks.notNull("interval", interval);
    }
}
