package org.chervillift.core.limits;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * A transaction that takes or returns permits and renews or deletes leases.
 *
 * @param token the idempotency token
 * @param rows the team rows to write, each on the condition of its version
 * @param leases the leases to write or delete, or whose version is only checked
 */
public record LimitTransaction(String token, List<TeamRowWrite> rows, List<LeaseWrite> leases) {

    public LimitTransaction {
        Checks.notBlank("token", token);
        rows = List.copyOf(rows);
        leases = List.copyOf(leases);
    }

    /**
     * A conditional write to the row of a team.
     *
     * @param team the team
     * @param version the version that the row must have
     * @param row the new content
     */
    public record TeamRowWrite(String team, long version, TeamRow row) {
        public TeamRowWrite {
            Checks.notBlank("team", team);
            Checks.notNegative("version", version);
            Checks.notNull("row", row);
        }
    }

    /**
     * A condition on the version of a lease row, with or without a change to the row.
     *
     * @param holder the holder
     * @param version the version that the row must have, 0 if it must not exist
     * @param change the change to the row
     * @param lease the new content for {@link LeaseChange#PUT}
     */
    public record LeaseWrite(
            String holder, long version, LeaseChange change, Optional<HolderLease> lease) {
        public LeaseWrite {
            Checks.notBlank("holder", holder);
            Checks.notNegative("version", version);
            Checks.that(
                    lease.isPresent() == (change == LeaseChange.PUT), "only PUT carries a lease");
        }
    }

    /** The change to a lease row. */
    public enum LeaseChange {
        /** Only the version is checked. */
        CHECK_ONLY,
        /** The row is written. */
        PUT,
        /** The row is deleted. */
        DELETE
    }
}
