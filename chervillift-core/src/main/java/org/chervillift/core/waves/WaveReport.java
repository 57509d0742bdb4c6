package org.chervillift.core.waves;

import org.chervillift.api.Checks;

/**
 * A report to the operators, written to the log.
 *
 * @param kind the kind of report
 * @param subject the identifier of the VM, pool or wave
 * @param sentence the text of the report
 */
public record WaveReport(Kind kind, String subject, String sentence) {

    public WaveReport {
        Checks.notNull("kind", kind);
        Checks.notBlank("subject", subject);
        Checks.notBlank("sentence", sentence);
    }

    /** The kinds of reports. */
    public enum Kind {
        /** VMs were taken out for maintenance. */
        TAKEN_OUT,
        /** A drain takes too long. */
        DRAIN_OVERDUE,
        /** A VM returned to service. */
        RETURNED,
        /** A VM failed. */
        VM_FAILED,
        /** A wave was paused automatically. */
        WAVE_PAUSED,
        /** A wave is done. */
        WAVE_DONE
    }
}
