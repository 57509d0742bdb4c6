package org.chervillift.daemon.waves;

import org.apache.logging.log4j.Level;
import org.chervillift.core.waves.WaveReport;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of maintenance waves. */
public enum WaveEvent implements Event {
    /** VMs were taken out. */
    TAKEN_OUT(4001, Level.INFO, "VMs were taken out for maintenance."),
    /** A drain does not end. */
    DRAIN_HELD(4002, Level.WARN, "A drain does not end."),
    /** A VM came back. */
    RETURNED(4003, Level.INFO, "A VM is in service again."),
    /** VMs failed. */
    VM_FAILED(4004, Level.WARN, "VMs count as failed."),
    /** A wave paused by itself. */
    WAVE_PAUSED(4005, Level.ERROR, "A maintenance wave paused by itself."),
    /** A wave is done. */
    WAVE_DONE(4006, Level.INFO, "A maintenance wave is done."),
    /** A round ended early. */
    ROUND_FAILED(4007, Level.WARN, "A maintenance round ended early; the next one reads again."),
    /** The operator's command took effect. */
    COMMANDED(4008, Level.INFO, "An operator's maintenance command is in force.");

    private final EventKind kind;

    WaveEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    /** Returns the event that carries a report. */
    public static WaveEvent of(WaveReport.Kind kind) {
        return switch (kind) {
            case TAKEN_OUT -> TAKEN_OUT;
            case DRAIN_OVERDUE -> DRAIN_HELD;
            case RETURNED -> RETURNED;
            case VM_FAILED -> VM_FAILED;
            case WAVE_PAUSED -> WAVE_PAUSED;
            case WAVE_DONE -> WAVE_DONE;
        };
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
