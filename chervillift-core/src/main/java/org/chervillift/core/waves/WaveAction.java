package org.chervillift.core.waves;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.fleet.FleetWrite;

/** An action that the holder of the maintenance duty carries out. */
public sealed interface WaveAction {

    /**
     * Writes rows in one transaction.
     *
     * @param write the writes and their conditions
     * @param report the report to log once the write took effect
     */
    record Commit(FleetWrite write, Optional<WaveReport> report) implements WaveAction {
        public Commit {
            Checks.notNull("write", write);
            Checks.notNull("report", report);
        }
    }

    /**
     * Tells a VM to accept no new requests.
     *
     * @param vm the VM
     * @param fence the fencing token, which is the epoch of its row
     */
    record Drain(String vm, long fence) implements WaveAction {}

    /**
     * Reboots a VM.
     *
     * @param vm the VM
     * @param fence the fencing token, which is the epoch of its row
     */
    record Reboot(String vm, long fence) implements WaveAction {}

    /**
     * Tells a VM to accept requests again.
     *
     * @param vm the VM
     * @param fence the fencing token, which is the epoch of its row
     */
    record Restore(String vm, long fence) implements WaveAction {}

    /**
     * Reports something to the operator.
     *
     * @param report the report
     */
    record Report(WaveReport report) implements WaveAction {
        public Report {
            Checks.notNull("report", report);
        }
    }
}
