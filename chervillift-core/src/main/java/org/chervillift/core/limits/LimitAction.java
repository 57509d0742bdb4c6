package org.chervillift.core.limits;

import java.util.List;
import org.chervillift.api.Checks;

/** What the process is to do for its {@link TeamLimiter}; one action is under way at a time. */
public sealed interface LimitAction {

    /**
     * Read the own lease and the rows of teams, all of one moment.
     *
     * @param teams the teams
     */
    record ReadRows(List<String> teams) implements LimitAction {
        public ReadRows {
            teams = List.copyOf(teams);
        }
    }

    /** Read all leases. */
    record ReadLeases() implements LimitAction {}

    /**
     * Carry out a transaction.
     *
     * @param commit the transaction
     */
    record Commit(LimitTransaction commit) implements LimitAction {
        public Commit {
            Checks.notNull("commit", commit);
        }
    }
}
