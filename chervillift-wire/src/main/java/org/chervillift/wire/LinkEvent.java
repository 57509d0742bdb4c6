package org.chervillift.wire;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;

/** The events of links between daemons. */
public enum LinkEvent implements Event {
    /** A link came up. */
    LINK_UP(6001, Level.INFO, "A link to a peer is up."),
    /** A link went down. */
    LINK_DOWN(6002, Level.WARN, "A link to a peer is down."),
    /** The other side did not prove its membership. */
    STRANGER_REFUSED(6003, Level.WARN, "A process that did not prove its membership was refused.");

    private final int number;
    private final Level level;
    private final String meaning;

    LinkEvent(int number, Level level, String meaning) {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String meaning() {
        return meaning;
    }
}
