package org.chervillift.core.tasks.placement;

import java.util.OptionalLong;
import org.chervillift.api.Checks;
import org.chervillift.api.SaturatedMath;

/**
 * Decides how long a step waits for a place in a rack while other racks have room.
 *
 * <p>The load that it addresses: many jobs want one rack. A run elsewhere takes longer by a factor,
 * so that a short wait pays, and a wait that is longer than this gain does not. The wait of a step
 * ends at the same time whatever its expectations were, since these may be wrong.
 *
 * @param remoteFactor how many times as long a run elsewhere takes
 * @param runMillis how long a run in the rack takes
 * @param since when the step could first start, in milliseconds
 * @param idleSince when something of the job last ran, in milliseconds; empty while something runs
 * @param gapMillis the mean time from one task that wants the rack to the next
 * @param latestStart the latest start with which the job meets its objective, in milliseconds
 */
public record RackWait(
        double remoteFactor,
        long runMillis,
        long since,
        OptionalLong idleSince,
        double gapMillis,
        long latestStart) {

    /** Half of the time after which a job counts as standing still; the start takes time too. */
    public static final long MAX_IDLE_WAIT_MILLIS = 1_500;

    public RackWait {
        Checks.that(remoteFactor >= 1, "remoteFactor must be at least 1");
        Checks.notNegative("runMillis", runMillis);
        Checks.notNull("idleSince", idleSince);
    }

    /** Returns the time that a run elsewhere takes more than one in the rack, in milliseconds. */
    public long gainMillis() {
        return Math.round(runMillis * (remoteFactor - 1));
    }

    /** Returns when the wait ends at the latest, in milliseconds. */
    public long endsAt() {
        long byGain = SaturatedMath.add(since, gainMillis());
        return Math.min(Math.min(byGain, idleEndsAt()), latestStart);
    }

    private long idleEndsAt() {
        return idleSince.isPresent()
                ? Math.max(since, idleSince.getAsLong()) + MAX_IDLE_WAIT_MILLIS
                : Long.MAX_VALUE;
    }

    /** Returns whether any wait can pay from now on. */
    public boolean mayPay(long now) {
        return now < endsAt();
    }

    /**
     * Returns the time before which a place must be expected so that a wait for it pays.
     *
     * <p>What a place is worth is the time for which it would else be unused: until the next task
     * wants it, or for a whole run if that is shorter.
     */
    public long latestPlace(long now) {
        double unused = Math.min(1, gapMillis / Math.max(1, runMillis));
        return Math.min(endsAt(), SaturatedMath.add(now, Math.round(gainMillis() * unused)));
    }

    /**
     * Returns whether a wait pays.
     *
     * @param placeAt when the place is expected, in milliseconds
     */
    public boolean pays(long placeAt, long now) {
        return mayPay(now) && placeAt < latestPlace(now);
    }
}
