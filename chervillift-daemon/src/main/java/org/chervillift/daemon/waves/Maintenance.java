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
 * The maintenance matter of one daemon.
 *
 * @param part holds the duties
 * @param commands carries out operators' commands
 */
public record Maintenance(MaintenancePart part, MaintenanceCommands commands) {

    public Maintenance {
        Checks.notNull("part", part);
        Checks.notNull("commands", commands);
    }

    /**
     * Returns the maintenance of a daemon.
     *
     * @param vmId the VM of the daemon
     * @param dataCentre the data centre of the daemon
     * @param dataCentres returns the data centres that have VMs
     */
    public static Maintenance of(
            Platform platform,
            MaintenanceControl control,
            String vmId,
            String dataCentre,
            WaveSettings waves,
            Scheduler scheduler,
            Supplier<Set<String>> dataCentres) {
        MaintenanceSettings settings =
                new MaintenanceSettings(
                        vmId + "-" + UUID.randomUUID(),
                        dataCentre,
                        waves,
                        DutySettings.DEFAULT,
                        MaintenanceSettings.DEFAULT_INTERVAL);
        MaintenancePart part =
                new MaintenancePart(
                        dc ->
                                new MaintenanceRound(
                                        platform,
                                        control,
                                        dc,
                                        settings,
                                        scheduler,
                                        MaintenancePart::log),
                        dataCentres,
                        settings.interval(),
                        scheduler);
        return new Maintenance(part, new MaintenanceCommands(platform, control, scheduler));
    }
}
