package org.chervillift.daemon.tasks;

import org.chervillift.api.Checks;
import org.chervillift.core.tasks.TaskBoard;

/**
 * The board of this process while it is the holder.
 *
 * @param board the board, on which all jobs are
 * @param basis how old it is
 */
record HeldBoard(TaskBoard board, Basis.Board basis) {
    HeldBoard {
        Checks.notNull("board", board);
        Checks.notNull("basis", basis);
    }
}
