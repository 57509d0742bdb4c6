package org.chervillift.daemon.waves;

import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.MaintenanceControl;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.duties.DutySettings;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The maintenance components of one daemon.
 *
 * @param part runs the maintenance duties
 * @param commands executes operators' commands
 */
public record MaintenanceComponents(MaintenancePart part, MaintenanceCommands commands) {

    public MaintenanceComponents {
        Checks.notNull("part", part);
        Checks.notNull("commands", commands);
    }

    /**
     * Creates the maintenance components of a daemon.
     *
     * @param vmId the VM that the daemon runs on
     * @param dataCentre the data centre of the daemon
     * @param dataCentres returns the data centres that have VMs
     */
    public static MaintenanceComponents of(
            Platform platform,
            MaintenanceControl control,
            String vmId,
            String dataCentre,
            WaveSettings waveSettings,
            Scheduler scheduler,
            Supplier<Set<String>> dataCentres) {
        MaintenanceSettings settings =
                new MaintenanceSettings(
                        vmId + "-" + UUID.randomUUID(),
                        dataCentre,
                        waveSettings,
                        DutySettings.DEFAULT,
                        MaintenanceSettings.DEFAULT_ROUND_INTERVAL);
        MaintenancePart part =
                new MaintenancePart(
                        dc ->
                                new MaintenanceRunner(
                                        platform,
                                        control,
                                        dc,
                                        settings,
                                        scheduler,
                                        MaintenancePart::logReport),
                        dataCentres,
                        settings.roundInterval(),
                        scheduler);
        return new MaintenanceComponents(
                part, new MaintenanceCommands(platform, control, scheduler));
    }
}
