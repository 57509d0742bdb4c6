package org.chervillift.runtime.supervision;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of the supervisor tree. */
public enum SupervisionEvent implements Event {
    /** A part failed. */
    PART_FAILED(1101, Level.ERROR, "A part of the process failed."),
    /** A part was started again. */
    PART_RESTARTED(1102, Level.WARN, "A part of the process was started again."),
    /** Restarts came too often. */
    GAVE_UP(1103, Level.ERROR, "A part failed too often; its supervisor gives up.");

    private final EventKind kind;

    SupervisionEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
