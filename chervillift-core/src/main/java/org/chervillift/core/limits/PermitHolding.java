package org.chervillift.core.limits;

import java.time.Duration;
import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * The part of a team's limit that is allocated to one entry VM.
 *
 * @param permits the number of permits that it holds
 * @param wanted its demand for permits at its last write
 * @param turn the time of its last write, in units of {@link #TURN_LENGTH} since 1970 UTC
 */
public record PermitHolding(int permits, int wanted, long turn) {

    /** The unit in which the age of a reported demand is counted. */
    public static final Duration TURN_LENGTH = Duration.ofSeconds(10);

    private static final int DEMAND_VALID_TURNS = 3;

    public PermitHolding {
        Checks.notNegative("permits", permits);
        Checks.notNegative("wanted", wanted);
    }

    /** Returns the turn that a time falls into. */
    public static long turnOf(Instant now) {
        return now.getEpochSecond() / TURN_LENGTH.toSeconds();
    }

    /**
     * Returns the demand that counts when the limit is divided at the given turn. Demand above the
     * permits held counts only while the last write is recent.
     */
    public int demandAt(long currentTurn) {
        return currentTurn - turn < DEMAND_VALID_TURNS ? wanted : Math.min(wanted, permits);
    }
}
