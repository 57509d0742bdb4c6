package org.chervillift.runtime.events;

import org.apache.logging.log4j.Level;

/**
 * A kind of event that a process logs.
 *
 * <p>Each module has an enum of its events. Numbers are unique over all modules and never change
 * meaning. {@code docs/EVENTS.md} is the catalogue.
 */
public interface Event {

    /** Returns number, level and meaning. */
    EventKind kind();

    /** Returns the number. */
    default int number() {
        return kind().number();
    }

    /** Returns the level. */
    default Level level() {
        return kind().level();
    }

    /** Returns what happened, as one plain sentence. */
    default String meaning() {
        return kind().meaning();
    }
}
