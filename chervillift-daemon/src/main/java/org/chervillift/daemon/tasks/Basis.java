package org.chervillift.daemon.tasks;

/** What an answer about jobs was told from, and how old or which version that was. */
sealed interface Basis {

    /**
     * The board of the holder.
     *
     * @param term the holder's term
     * @param feedAgeMillis how long ago the store last answered about new jobs, in milliseconds
     * @param leaseAgeMillis how long ago the lease was renewed, in milliseconds
     */
    record Board(long term, long feedAgeMillis, long leaseAgeMillis) implements Basis {}

    /**
     * A row read for this answer.
     *
     * @param table the table of the row
     * @param version the row's version, or 0 if there is no such row
     */
    record StoredRow(String table, long version) implements Basis {}

    /** What this process has seen of the job before, and what cannot change any more. */
    record Memory() implements Basis {}

    /** Nothing that is known of jobs: the request itself, the configuration, or a lost store. */
    record NotAsked() implements Basis {}
}
