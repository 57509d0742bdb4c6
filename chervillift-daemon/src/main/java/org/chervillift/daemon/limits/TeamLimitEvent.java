package org.chervillift.daemon.limits;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The log events of team limits. */
public enum TeamLimitEvent implements Event {
    /** The permit lease became valid. */
    LEASE_ACQUIRED(2001, Level.INFO, "The permit lease of this process is valid."),
    /** The permit lease expired. */
    LEASE_EXPIRED(
            2002,
            Level.ERROR,
            "The permit lease of this process has expired; it starts no requests of teams."),
    /** All permits were returned at shutdown. */
    PERMITS_RETURNED(2003, Level.INFO, "All permits were returned at shutdown."),
    /** Some permits were not returned at shutdown. */
    PERMITS_NOT_RETURNED(
            2004,
            Level.WARN,
            "Some permits were not returned at shutdown; they are reclaimed later.");

    private final EventKind kind;

    TeamLimitEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
