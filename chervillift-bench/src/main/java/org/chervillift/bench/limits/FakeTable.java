package org.chervillift.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.core.limits.HolderLease;
import org.chervillift.core.limits.LimitAction;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.core.limits.LimitTransaction;
import org.chervillift.core.limits.LimitTransaction.LeaseChange;
import org.chervillift.core.limits.LimitTransaction.LeaseWrite;
import org.chervillift.core.limits.LimitTransaction.TeamRowWrite;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;
import org.chervillift.core.limits.Versioned;

/** A table with conditional writes and idempotent tokens, which checks each division. */
final class FakeTable {

    private static final int ROW_OVERHEAD_BYTES = 60;
    private static final int HOLDING_BYTES = 50;
    private static final int LEASE_BYTES = 130;

    private final Map<String, Versioned<TeamRow>> rows = new HashMap<>();
    private final Map<String, Versioned<HolderLease>> leases = new HashMap<>();
    private final Map<String, Boolean> outcomes = new HashMap<>();
    private long versions;
    private long writes;
    private long conflicts;
    private long reads;
    private long bytes;

    LimitEvent carryOut(LimitAction action, String holder) {
        return switch (action) {
            case LimitAction.ReadLeases r -> leases();
            case LimitAction.ReadRows r -> read(holder, r.teams());
            case LimitAction.Commit c ->
                    commit(c.commit()) ? new LimitEvent.Committed() : new LimitEvent.Conflicted();
        };
    }

    private LimitEvent.RowsRead read(String holder, List<String> teams) {
        reads++;
        Map<String, Versioned<TeamRow>> found = new HashMap<>();
        teams.forEach(t -> found.put(t, row(t)));
        found.values().forEach(r -> bytes += size(r.value()));
        bytes += LEASE_BYTES;
        return new LimitEvent.RowsRead(Optional.ofNullable(leases.get(holder)), found);
    }

    private LimitEvent.LeasesRead leases() {
        reads++;
        bytes += (long) LEASE_BYTES * leases.size();
        return new LimitEvent.LeasesRead(new ArrayList<>(leases.values()));
    }

    Versioned<TeamRow> row(String team) {
        return rows.getOrDefault(team, new Versioned<>(0, TeamRow.EMPTY));
    }

    List<HolderLease> allLeases() {
        return leases.values().stream().map(Versioned::value).toList();
    }

    /** Returns whether the transaction took effect, now or at its first time. */
    private boolean commit(LimitTransaction c) {
        Boolean before = outcomes.get(c.token());
        if (before != null) {
            return before;
        }
        boolean done = conditionsHold(c);
        outcomes.put(c.token(), done);
        if (done) {
            writes++;
            c.rows().forEach(this::write);
            c.leases().forEach(this::write);
        } else {
            conflicts++;
        }
        return done;
    }

    private boolean conditionsHold(LimitTransaction c) {
        return c.rows().stream().allMatch(w -> row(w.team()).version() == w.version())
                && c.leases().stream().allMatch(w -> leaseVersion(w.holder()) == w.version());
    }

    private long leaseVersion(String holder) {
        Versioned<HolderLease> l = leases.get(holder);
        return l == null ? 0 : l.version();
    }

    private void write(TeamRowWrite w) {
        TeamRow before = row(w.team()).value();
        TeamRow after = w.row();
        if (after.totalHeld() > Math.max(after.limit(), before.totalHeld())) {
            throw new InvariantBrokenException(
                    "The row of %s gives %d permits at a limit of %d."
                            .formatted(w.team(), after.totalHeld(), after.limit()));
        }
        bytes += size(after);
        rows.put(w.team(), new Versioned<>(++versions, after));
    }

    private void write(LeaseWrite w) {
        if (w.change() == LeaseChange.PUT) {
            bytes += LEASE_BYTES;
            leases.put(w.holder(), new Versioned<>(++versions, w.lease().orElseThrow()));
        } else if (w.change() == LeaseChange.DELETE) {
            leases.remove(w.holder());
        }
    }

    private static long size(TeamRow row) {
        int holdings = 0;
        for (PermitHolding h : row.holdings().values()) {
            holdings += h.permits() > 0 || h.wanted() > 0 ? 1 : 0;
        }
        return ROW_OVERHEAD_BYTES + (long) HOLDING_BYTES * holdings;
    }

    long writes() {
        return writes;
    }

    long conflicts() {
        return conflicts;
    }

    long reads() {
        return reads;
    }

    long bytes() {
        return bytes;
    }
}
