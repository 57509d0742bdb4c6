package org.chervillift.daemon.tasks;

import java.util.Optional;
import org.chervillift.api.platform.Row;

/** The data from which an answer about jobs was given, with its age or version, for the log. */
sealed interface AnswerBasis {

    /**
     * The holder's task board.
     *
     * @param term the holder's term
     * @param copyAgeMillis the age of the board's copy of the jobs, in milliseconds
     * @param leaseAgeMillis the time since the lease was last renewed, in milliseconds
     */
    record Board(long term, long copyAgeMillis, long leaseAgeMillis) implements AnswerBasis {}

    /**
     * A row that was read for this answer.
     *
     * @param table the table of the row
     * @param version the row's version, or 0 if there is no such row
     */
    record StoredRow(String table, long version) implements AnswerBasis {

        static StoredRow of(String table, Optional<Row> row) {
            return new StoredRow(table, row.map(Row::version).orElse(0L));
        }
    }

    /**
     * The row with the holder's pending job counts, read for this answer.
     *
     * @param version the row's version
     * @param ageMillis the age of the counts, in milliseconds
     */
    record CountRow(long version, long ageMillis) implements AnswerBasis {}

    /**
     * The answer of another entry VM, to which the request was relayed.
     *
     * @param vm the name of that VM
     */
    record Peer(String vm) implements AnswerBasis {}

    /** A final state that this process remembers; it cannot change. */
    record Memory() implements AnswerBasis {}

    /** No job data: the request or the configuration decided, or the store did not respond. */
    record NotAsked() implements AnswerBasis {}
}
