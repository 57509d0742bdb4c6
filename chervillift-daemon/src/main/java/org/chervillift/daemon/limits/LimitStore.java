package org.chervillift.daemon.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.limits.HolderLease;
import org.chervillift.core.limits.LimitAction;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.core.limits.LimitTransaction;
import org.chervillift.core.limits.LimitTransaction.LeaseChange;
import org.chervillift.core.limits.TeamRow;
import org.chervillift.core.limits.Versioned;
import org.chervillift.http.Json;

/** Reads and writes the rows of permits in the platform's table. */
final class LimitStore {

    /** The table of the rows of teams; the key is the team. */
    static final String TEAMS = "limit";

    /** The table of leases; the key is the holder. */
    static final String LEASES = "permit-lease";

    private final Platform platform;

    LimitStore(Platform platform) {
        this.platform = Checks.notNull("platform", platform);
    }

    /** Carries out an action of a holder; the stage fails when the platform does not answer. */
    CompletionStage<LimitEvent> carryOut(LimitAction action, String holder) {
        return switch (action) {
            case LimitAction.ReadLeases r -> platform.scan(LEASES).thenApply(LimitStore::leases);
            case LimitAction.ReadRows r -> read(r.teams(), holder);
            case LimitAction.Commit c ->
                    platform.commit(transaction(c.commit())).thenApply(LimitStore::outcome);
        };
    }

    private CompletionStage<LimitEvent> read(List<String> teams, String holder) {
        List<RowKey> keys = new ArrayList<>();
        keys.add(new RowKey(LEASES, holder));
        teams.forEach(t -> keys.add(new RowKey(TEAMS, t)));
        return platform.read(keys).thenApply(rows -> rowsRead(rows, teams));
    }

    private static LimitEvent rowsRead(List<Row> rows, List<String> teams) {
        Optional<Versioned<HolderLease>> lease = Optional.empty();
        Map<String, Versioned<TeamRow>> found = new HashMap<>();
        teams.forEach(t -> found.put(t, new Versioned<>(0, TeamRow.EMPTY)));
        for (Row r : rows) {
            if (r.key().table().equals(LEASES)) {
                lease = Optional.of(lease(r));
            } else {
                TeamRow row = Json.decode(r.value(), TeamRow.class);
                found.put(r.key().key(), new Versioned<>(r.version(), row));
            }
        }
        return new LimitEvent.RowsRead(lease, found);
    }

    private static LimitEvent leases(List<Row> rows) {
        return new LimitEvent.LeasesRead(rows.stream().map(LimitStore::lease).toList());
    }

    private static Versioned<HolderLease> lease(Row row) {
        return new Versioned<>(row.version(), Json.decode(row.value(), HolderLease.class));
    }

    private static LimitEvent outcome(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed c -> new LimitEvent.Committed();
            case CommitResult.Conflict c -> new LimitEvent.Conflicted();
        };
    }

    private static Transaction transaction(LimitTransaction commit) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (LimitTransaction.TeamRowWrite w : commit.rows()) {
            RowKey key = new RowKey(TEAMS, w.team());
            conditions.add(new Transaction.Condition(key, w.version()));
            writes.add(Transaction.Write.put(key, Json.encode(w.row())));
        }
        for (LimitTransaction.LeaseWrite w : commit.leases()) {
            RowKey key = new RowKey(LEASES, w.holder());
            conditions.add(new Transaction.Condition(key, w.version()));
            w.lease().ifPresent(l -> writes.add(Transaction.Write.put(key, Json.encode(l))));
            if (w.change() == LeaseChange.DELETE) {
                writes.add(Transaction.Write.delete(key));
            }
        }
        return new Transaction(commit.token(), conditions, writes);
    }
}
