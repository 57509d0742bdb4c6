package org.chervillift.runtime.events;

import org.apache.logging.log4j.Level;

/**
 * A kind of event that a process logs.
 *
 * <p>Each module has an enum of its events. Numbers are unique over all modules and never change
 * meaning. {@code docs/EVENTS.md} is the catalogue.
 */
public interface Event {

    /** Returns the number. */
    int number();

    /** Returns the level. */
    Level level();

    /** Returns what happened, as one plain sentence. */
    String meaning();
}
