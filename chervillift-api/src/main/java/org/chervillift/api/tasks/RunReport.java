package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * What a worker runs, as it says itself.
 *
 * @param bornAtMillis when the worker's lifetime began, in milliseconds since 1970 UTC
 * @param clockMillis the worker's steady clock
 * @param running what runs
 * @param ended the ends that have not been acknowledged, oldest first
 * @param moreEnds whether there may be further ends, which are reported once these are acknowledged
 */
public record RunReport(
        long bornAtMillis,
        long clockMillis,
        List<RunningTask> running,
        List<EndedRun> ended,
        boolean moreEnds) {
    public RunReport {
        Checks.notNull("running", running);
        Checks.notNull("ended", ended);
    }
}
