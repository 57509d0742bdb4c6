package org.chervillift.daemon.tasks;

import org.chervillift.api.Checks;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.admission.FleetFigures;

/**
 * The task board of a process that is certain to hold the lease.
 *
 * @param board the board, which contains all jobs stored up to {@code completeUntil}
 * @param completeUntil when the copy of the jobs was complete, by this process's monotonic clock,
 *     in milliseconds
 * @param basis the ages of the copy and of the lease, for the log
 */
record HolderBoard(TaskScheduler board, long completeUntil, AnswerBasis.Board basis) {
    HolderBoard {
        Checks.notNull("board", board);
        Checks.notNull("basis", basis);
    }

    /** Returns what other processes need to answer callers. */
    PendingCounts pendingCounts(StoreClock storeClock, FleetFigures figures) {
        long asOfStoreMillis =
                storeClock.isKnown() ? storeClock.earliestStoreMillis(completeUntil) : 0;
        return PendingCounts.of(board.pendingByQueue(), asOfStoreMillis, figures);
    }
}
