package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Readiness;
import org.chervillift.api.platform.Readiness.State;

/** Tracks since when a process has been ready or not, and when that is to be logged. */
final class ReadinessTracker {

    /** How often a process says again that it is not ready. */
    static final long REPEAT_MILLIS = 5_000;

    private State state = State.OPERATOR_ROWS_UNREAD;
    private long since;
    private Optional<State> logged = Optional.empty();
    private long loggedAt;

    /**
     * Creates a tracker of a process that starts.
     *
     * @param now the present time, in milliseconds
     */
    ReadinessTracker(long now) {
        this.since = now;
    }

    /**
     * Records the present state; returns it with its duration.
     *
     * @param storeFailure the failure of the last call to the store, if it failed
     */
    Readiness update(State current, Optional<String> storeFailure, long now) {
        Checks.notNull("current", current);
        if (current != state) {
            state = current;
            since = now;
        }
        return new Readiness(state, Duration.ofMillis(now - since), storeFailure);
    }

    /**
     * Returns whether the state is to be logged now: when it has changed, and again and again while
     * the process is not ready.
     */
    boolean isLogDue(long now) {
        boolean changed = !logged.equals(Optional.of(state));
        boolean repeats = state != State.READY && now - loggedAt >= REPEAT_MILLIS;
        if (changed || repeats) {
            logged = Optional.of(state);
            loggedAt = now;
        }
        return changed || repeats;
    }
}
