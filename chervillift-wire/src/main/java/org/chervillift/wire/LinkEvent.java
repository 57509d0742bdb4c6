package org.chervillift.wire;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of links between daemons. */
public enum LinkEvent implements Event {
    /** A link came up. */
    LINK_UP(6001, Level.INFO, "A link to a peer is up."),
    /** A link went down. */
    LINK_DOWN(6002, Level.WARN, "A link to a peer is down."),
    /** The other side did not prove its membership. */
    STRANGER_REFUSED(6003, Level.WARN, "A process that did not prove its membership was refused.");

    private final EventKind kind;

    LinkEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
