package org.chervillift.daemon.tasks;

import java.util.Optional;
import org.chervillift.api.platform.Row;

/** What an answer about jobs was told from, and how old or which version that was. */
sealed interface Basis {

    /**
     * The board of the holder.
     *
     * @param term the holder's term
     * @param copyAgeMillis how long ago all jobs were known, in milliseconds
     * @param leaseAgeMillis how long ago the lease was renewed, in milliseconds
     */
    record Board(long term, long copyAgeMillis, long leaseAgeMillis) implements Basis {}

    /**
     * A row read for this answer.
     *
     * @param table the table of the row
     * @param version the row's version, or 0 if there is no such row
     */
    record StoredRow(String table, long version) implements Basis {

        static StoredRow of(String table, Optional<Row> row) {
            return new StoredRow(table, row.map(Row::version).orElse(0L));
        }
    }

    /**
     * The row in which the holder counts waiting jobs, read for this answer.
     *
     * @param version the row's version
     * @param ageMillis how long ago the holder knew all jobs that it counted, in milliseconds
     */
    record CountRow(long version, long ageMillis) implements Basis {}

    /** What this process has seen of the job before, and what cannot change any more. */
    record Memory() implements Basis {}

    /** Nothing that is known of jobs: the request itself, the configuration, or a lost store. */
    record NotAsked() implements Basis {}
}
