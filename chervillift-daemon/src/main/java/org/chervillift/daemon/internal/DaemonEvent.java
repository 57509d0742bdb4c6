package org.chervillift.daemon.internal;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of the daemon's frame. */
public enum DaemonEvent implements Event {
    /** The daemon is ready. */
    READY(1001, Level.INFO, "The daemon is ready."),
    /** Shutdown begins. */
    STOPPING(1002, Level.INFO, "The daemon stops; it is not ready any more."),
    /** Shutdown has ended. */
    STOPPED(1003, Level.INFO, "The daemon has stopped."),
    /** Requests were still running at the bound of the shutdown. */
    STOPPED_WITH_WORK(1004, Level.ERROR, "The daemon stopped while requests were running."),
    /** The daemon cannot go on. */
    FAILED(1005, Level.ERROR, "The daemon cannot go on and ends."),
    /** A task met a fault of the program. */
    FAULT(1006, Level.ERROR, "A task met a fault of the program."),
    /** A newer configuration is in force here. */
    CONFIG_ADOPTED(1010, Level.INFO, "A newer configuration is in force here."),
    /** A newer key ring is in force here. */
    KEYS_ADOPTED(1011, Level.INFO, "A newer key ring is in force here."),
    /** The platform does not answer. */
    PLATFORM_LOST(1012, Level.WARN, "The platform does not answer; the daemon goes on."),
    /** The platform answers again. */
    PLATFORM_FOUND(1013, Level.INFO, "The platform answers again."),
    /** Counts for the report could not be saved. */
    USAGE_NOT_SAVED(1014, Level.WARN, "Counts for the report could not be saved; they are held."),
    /** One version was offered with two contents. */
    CONFIG_CONTRADICTED(
            5001, Level.ERROR, "One version came with another content; it is not taken."),
    /** An operator's request was carried out. */
    OPERATOR_ACTED(1020, Level.INFO, "An operator's request was carried out."),
    /** An operator's request was refused. */
    OPERATOR_REFUSED(1021, Level.WARN, "An operator's request was refused.");

    private final EventKind kind;

    DaemonEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
