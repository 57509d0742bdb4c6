package org.chervillift.api.fleet;

import java.time.Instant;
import org.chervillift.api.Checks;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.platform.RowKey;

/**
 * A VM as its row in the platform's table says; the row names its one pool.
 *
 * @param id unique identifier
 * @param pool the one pool that it is in
 * @param dataCentre the data centre that it stands in
 * @param rack the rack that it stands in
 * @param address IP number and port, as {@code 192.0.2.1:8080}
 * @param slots requests that it runs at once
 * @param state what it is doing
 * @param stateSinceMillis when it entered the state, in milliseconds since 1970 UTC
 * @param epoch grows by one with each change of state; the fence of maintenance operations
 * @param maintainedAtMillis when it was last maintained, in milliseconds since 1970 UTC, or 0
 * @param wave the wave that holds it or held it last, or blank
 * @param target the pool that it moves to, or blank
 */
public record VmRow(
        String id,
        String pool,
        String dataCentre,
        String rack,
        String address,
        int slots,
        VmState state,
        long stateSinceMillis,
        long epoch,
        long maintainedAtMillis,
        String wave,
        String target) {

    /** The table of these rows; the key is the VM's identifier. */
    public static final String TABLE = "vm";

    public VmRow {
        Checks.notBlank("id", id);
        Checks.notBlank("pool", pool);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("rack", rack);
        Checks.notBlank("address", address);
        Checks.inRange("slots", slots, 1, 10_000);
        Checks.notNull("state", state);
        Checks.notNegative("epoch", epoch);
        Checks.notNull("wave", wave);
        Checks.notNull("target", target);
    }

    /** Returns the first row of a VM that the sheet names. */
    public static VmRow first(VmSpec spec, Instant now) {
        return new VmRow(
                spec.id(),
                spec.pool(),
                spec.dataCentre(),
                spec.rack(),
                spec.address(),
                spec.slots(),
                VmState.IN_SERVICE,
                now.toEpochMilli(),
                1,
                0,
                "",
                "");
    }

    /** Returns the key of a VM's row. */
    public static RowKey key(String id) {
        return new RowKey(TABLE, id);
    }

    /** Returns the row in another state, one epoch on. */
    public VmRow enter(VmState next, Instant now) {
        return change(pool, next, now, maintainedAtMillis, wave, target);
    }

    /** Returns the row taken out for a wave, one epoch on. */
    public VmRow drainFor(String waveId, Instant now) {
        return change(pool, VmState.DRAINING, now, maintainedAtMillis, waveId, "");
    }

    /** Returns the row taken out for a move to another pool, one epoch on. */
    public VmRow moveTo(String targetPool, Instant now) {
        return change(pool, VmState.MOVING, now, maintainedAtMillis, "", targetPool);
    }

    /** Returns the row in its new pool, one epoch on. */
    public VmRow arrive(Instant now) {
        return change(target, VmState.JOINING, now, maintainedAtMillis, "", "");
    }

    /** Returns the row after its reboot was seen, one epoch on. */
    public VmRow rebooted(Instant now) {
        return change(pool, VmState.RETURNING, now, now.toEpochMilli(), wave, target);
    }

    private VmRow change(
            String newPool,
            VmState next,
            Instant now,
            long maintained,
            String newWave,
            String newTarget) {
        return new VmRow(
                id,
                newPool,
                dataCentre,
                rack,
                address,
                slots,
                next,
                now.toEpochMilli(),
                epoch + 1,
                maintained,
                newWave,
                newTarget);
    }
}
