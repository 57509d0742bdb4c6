package org.chervillift.core.waves;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.fleet.FleetWrite;

/** What the holder of the duty has to do. */
public sealed interface WaveAction {

    /**
     * Writes rows in one transaction.
     *
     * @param write the writes and their conditions
     * @param report what to tell once the write is in effect
     */
    record Commit(FleetWrite write, Optional<WaveReport> report) implements WaveAction {
        public Commit {
            Checks.notNull("write", write);
            Checks.notNull("report", report);
        }
    }

    /**
     * Tells a VM to take no new work.
     *
     * @param vm the VM
     * @param fence the epoch of its row
     */
    record Drain(String vm, long fence) implements WaveAction {}

    /**
     * Reboots a VM.
     *
     * @param vm the VM
     * @param fence the epoch of its row
     */
    record Reboot(String vm, long fence) implements WaveAction {}

    /**
     * Lets a VM take work again.
     *
     * @param vm the VM
     * @param fence the epoch of its row
     */
    record Restore(String vm, long fence) implements WaveAction {}

    /**
     * Tells the operator something.
     *
     * @param report what to tell
     */
    record Report(WaveReport report) implements WaveAction {
        public Report {
            Checks.notNull("report", report);
        }
    }
}
