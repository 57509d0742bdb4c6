package org.chervillift.api.fleet;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;

/**
 * A maintenance wave; together with the rows of the VMs it holds all that a new holder needs.
 *
 * @param id unique identifier
 * @param state what it is doing
 * @param reason one plain sentence that says why it is paused, or blank
 * @param startedAtMillis VMs maintained before this time are to do, in milliseconds since 1970 UTC
 * @param deadlineMillis when every VM must be done, in milliseconds since 1970 UTC
 * @param urgent whether it goes before other waves
 * @param pools the pools that it covers; empty for all
 * @param skipped VMs that an operator excepted
 * @param failedAfterReturn VMs that failed soon after they had returned
 * @param failedOthers failures of VMs that it had not touched
 */
public record WaveRow(
        String id,
        WaveState state,
        String reason,
        long startedAtMillis,
        long deadlineMillis,
        boolean urgent,
        List<String> pools,
        List<String> skipped,
        List<String> failedAfterReturn,
        int failedOthers) {

    /** The table of these rows; the key is the wave's identifier. */
    public static final String TABLE = "wave";

    public WaveRow {
        Checks.notBlank("id", id);
        Checks.notNull("state", state);
        Checks.notNull("reason", reason);
        Checks.that(deadlineMillis >= startedAtMillis, "deadline must not be before the start");
        pools = List.copyOf(pools);
        skipped = List.copyOf(skipped);
        failedAfterReturn = List.copyOf(failedAfterReturn);
        Checks.notNegative("failedOthers", failedOthers);
    }

    /** Returns the key of a wave's row. */
    public static RowKey key(String id) {
        return new RowKey(TABLE, id);
    }

    /** Returns whether the wave covers a VM that it has still to maintain. */
    public boolean hasToDo(VmRow vm) {
        return vm.maintainedAtMillis() < startedAtMillis
                && (pools.isEmpty() || pools.contains(vm.pool()))
                && !skipped.contains(vm.id());
    }

    /** Returns the row in another state with the reason for it. */
    public WaveRow enter(WaveState next, String why) {
        return new WaveRow(
                id,
                next,
                why,
                startedAtMillis,
                deadlineMillis,
                urgent,
                pools,
                skipped,
                failedAfterReturn,
                failedOthers);
    }

    /** Returns the row with other skipped VMs. */
    public WaveRow withSkipped(List<String> vms) {
        return new WaveRow(
                id,
                state,
                reason,
                startedAtMillis,
                deadlineMillis,
                urgent,
                pools,
                vms,
                failedAfterReturn,
                failedOthers);
    }

    /** Returns the row with other counts of failures. */
    public WaveRow withFailures(List<String> afterReturn, int others) {
        return new WaveRow(
                id,
                state,
                reason,
                startedAtMillis,
                deadlineMillis,
                urgent,
                pools,
                skipped,
                afterReturn,
                others);
    }
}
