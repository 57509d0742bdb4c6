package org.chervillift.daemon.limits;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of upper limits. */
public enum LimitsEvent implements Event {
    /** The lease is in force. */
    LEASE_TAKEN(2001, Level.INFO, "The lease of this process on its permits is in force."),
    /** The lease has ended. */
    LEASE_ENDED(2002, Level.ERROR, "The lease on permits has ended; no team's work starts here."),
    /** All permits were given back. */
    HANDED_OVER(2003, Level.INFO, "All permits were given back."),
    /** Some permits were not given back. */
    NOT_HANDED_OVER(
            2004, Level.WARN, "Some permits were not given back; they are reclaimed later.");

    private final EventKind kind;

    LimitsEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
