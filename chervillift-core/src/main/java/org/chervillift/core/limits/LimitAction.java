package org.chervillift.core.limits;

import java.util.List;
import org.chervillift.api.Checks;

/** A request to the platform that a {@link TeamLimiter} asks for; one is outstanding at a time. */
public sealed interface LimitAction {

    /**
     * Read the lease of this process and team rows in one consistent snapshot.
     *
     * @param teams the teams
     */
    record ReadRows(List<String> teams) implements LimitAction {
        public ReadRows {
            teams = List.copyOf(teams);
        }
    }

    /** Read the leases of all holders. */
    record ReadLeases() implements LimitAction {}

    /**
     * Execute a transaction.
     *
     * @param commit the transaction
     */
    record Commit(LimitTransaction commit) implements LimitAction {
        public Commit {
            Checks.notNull("commit", commit);
        }
    }
}
