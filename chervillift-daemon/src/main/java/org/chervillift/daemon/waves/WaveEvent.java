package org.chervillift.daemon.waves;

import org.apache.logging.log4j.Level;
import org.chervillift.core.waves.WaveReport;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The log events of maintenance waves. */
public enum WaveEvent implements Event {
    /** VMs were taken out of service for maintenance. */
    TAKEN_OUT(4001, Level.INFO, "VMs were taken out of service for maintenance."),
    /** A drain takes too long. */
    DRAIN_OVERDUE(4002, Level.WARN, "The drain of a VM takes too long."),
    /** A VM returned to service. */
    RETURNED(4003, Level.INFO, "A VM is in service again."),
    /** VMs failed. */
    VM_FAILED(4004, Level.WARN, "VMs are considered failed."),
    /** A wave was paused automatically. */
    WAVE_PAUSED(4005, Level.ERROR, "A maintenance wave was paused automatically."),
    /** A wave is done. */
    WAVE_DONE(4006, Level.INFO, "A maintenance wave is done."),
    /** A round failed. */
    ROUND_FAILED(
            4007, Level.WARN, "A maintenance round failed; the next round reads the state again."),
    /** An operator's command took effect, or was already in effect. */
    COMMAND_EXECUTED(4008, Level.INFO, "An operator's maintenance command is in effect.");

    private final EventKind kind;

    WaveEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    /** Returns the event as which a report is logged. */
    public static WaveEvent of(WaveReport.Kind kind) {
        return switch (kind) {
            case TAKEN_OUT -> TAKEN_OUT;
            case DRAIN_OVERDUE -> DRAIN_OVERDUE;
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
