package org.chervillift.core.waves;

import org.chervillift.api.Checks;

/**
 * Something that an operator should know.
 *
 * @param kind what it is about
 * @param subject the VM, pool or wave
 * @param sentence one plain sentence
 */
public record WaveReport(Kind kind, String subject, String sentence) {

    public WaveReport {
        Checks.notNull("kind", kind);
        Checks.notBlank("subject", subject);
        Checks.notBlank("sentence", sentence);
    }

    /** What a report is about. */
    public enum Kind {
        /** VMs were taken out. */
        TAKEN_OUT,
        /** A drain does not end. */
        DRAIN_OVERDUE,
        /** A VM came back into service. */
        RETURNED,
        /** A VM failed. */
        VM_FAILED,
        /** A wave paused by itself. */
        WAVE_PAUSED,
        /** A wave is done. */
        WAVE_DONE
    }
}
