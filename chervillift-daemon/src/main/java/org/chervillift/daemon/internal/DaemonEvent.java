package org.chervillift.daemon.internal;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of the daemon as a whole: start, shutdown, configuration, platform, operators. */
public enum DaemonEvent implements Event {
    /** The daemon is ready. */
    READY(1001, Level.INFO, "The daemon is ready."),
    /** The shutdown has begun. */
    STOPPING(1002, Level.INFO, "The daemon is shutting down and reports not ready."),
    /** The shutdown has ended. */
    STOPPED(1003, Level.INFO, "The daemon has stopped."),
    /** Requests were still running when the drain timeout ended. */
    STOPPED_WITH_RUNNING_REQUESTS(
            1004, Level.ERROR, "The daemon stopped while requests were running."),
    /** The daemon failed and exits. */
    FAILED(1005, Level.ERROR, "The daemon failed and exits."),
    /** A task of the event loop failed with an unexpected error. */
    UNEXPECTED_ERROR(1006, Level.ERROR, "A task failed with an unexpected error."),
    /** This process adopted a newer configuration. */
    CONFIG_ADOPTED(1010, Level.INFO, "This process uses a newer configuration."),
    /** This process adopted a newer key ring. */
    KEYS_ADOPTED(1011, Level.INFO, "This process uses a newer key ring."),
    /** The platform could not be read, after a read that succeeded. */
    PLATFORM_UNAVAILABLE(
            1012,
            Level.WARN,
            "The platform cannot be read; the daemon continues with the data it has."),
    /** The platform could be read again. */
    PLATFORM_AVAILABLE_AGAIN(1013, Level.INFO, "The platform can be read again."),
    /** Counts for the report could not be saved. */
    USAGE_NOT_SAVED(
            1014, Level.WARN, "Counts for the report could not be saved; they are kept in memory."),
    /** A configuration was offered with the held version but other content. */
    CONFIG_DIGEST_CONFLICT(
            5001,
            Level.ERROR,
            "A configuration has the version in use but other content; it is rejected."),
    /** An operator's request was carried out. */
    OPERATOR_REQUEST_EXECUTED(1020, Level.INFO, "An operator's request was carried out."),
    /** An operator's request was refused. */
    OPERATOR_REQUEST_REFUSED(1021, Level.WARN, "An operator's request was refused.");

    private final EventKind kind;

    DaemonEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
