package org.chervillift.daemon.tasks;

import org.chervillift.api.Checks;
import org.chervillift.core.tasks.TaskScheduler;

/**
 * The board of this process while it is surely the holder.
 *
 * @param board the board, on which all jobs are that were known at a time
 * @param asOfStoreMillis that time, by the store's clock, in milliseconds; 0 if it is not known
 * @param basis how old it is, for the log
 */
record HeldBoard(TaskScheduler board, long asOfStoreMillis, Basis.Board basis) {
    HeldBoard {
        Checks.notNull("board", board);
        Checks.notNull("basis", basis);
    }

    /** Counts the jobs that have not started. */
    PendingCounts pending() {
        return PendingCounts.of(board.pendingByQueue(), asOfStoreMillis);
    }
}
