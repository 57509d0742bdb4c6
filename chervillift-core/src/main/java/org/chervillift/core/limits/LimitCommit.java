package org.chervillift.core.limits;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * One transaction that moves permits.
 *
 * @param token makes the transaction idempotent
 * @param rows the rows of teams to write, each under the condition of its version
 * @param leases the leases to write, delete or only to compare
 */
public record LimitCommit(String token, List<RowWrite> rows, List<LeaseWrite> leases) {

    public LimitCommit {
        Checks.notBlank("token", token);
        rows = List.copyOf(rows);
        leases = List.copyOf(leases);
    }

    /**
     * A write to the row of a team.
     *
     * @param team the team
     * @param version the version that the row must have
     * @param row the new content
     */
    public record RowWrite(String team, long version, TeamRow row) {
        public RowWrite {
            Checks.notBlank("team", team);
            Checks.notNegative("version", version);
            Checks.notNull("row", row);
        }
    }

    /**
     * A condition on the row of a lease, with or without a write.
     *
     * @param holder the holder
     * @param version the version that the row must have, 0 where it must not exist
     * @param change what happens to the row
     * @param lease the new content for {@link ConfigChange#PUT}
     */
    public record LeaseWrite(
            String holder, long version, Change change, Optional<HolderLease> lease) {
        public LeaseWrite {
            Checks.notBlank("holder", holder);
            Checks.notNegative("version", version);
            Checks.that(lease.isPresent() == (change == Change.PUT), "only PUT carries a lease");
        }
    }

    /** What happens to the row of a lease. */
    public enum Change {
        /** The version is compared only. */
        NONE,
        /** The row is written. */
        PUT,
        /** The row is deleted. */
        DELETE
    }
}
