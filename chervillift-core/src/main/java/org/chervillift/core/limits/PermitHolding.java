package org.chervillift.core.limits;

import java.time.Duration;
import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * What one entry VM holds of a team's limit.
 *
 * @param permits the permits that it holds
 * @param wanted the permits that it had use for when it last wrote
 * @param turn when it last wrote, in turns of {@link #TURN_LENGTH}
 */
public record PermitHolding(int permits, int wanted, long turn) {

    /** The unit in which the age of a want is counted. */
    public static final Duration TURN_LENGTH = Duration.ofSeconds(10);

    private static final int DEMAND_VALID_TURNS = 3;

    public PermitHolding {
        Checks.notNegative("permits", permits);
        Checks.notNegative("wanted", wanted);
    }

    /** Returns the turn of a time. */
    public static long turnOf(Instant now) {
        return now.getEpochSecond() / TURN_LENGTH.toSeconds();
    }

    /** Returns what the holder still counts for when a limit is divided at a turn. */
    public int demandAt(long now) {
        return now - turn < DEMAND_VALID_TURNS ? wanted : Math.min(wanted, permits);
    }
}
