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

/** Reads and writes team rows and permit leases in the platform's tables. */
final class LimitStore {

    /** The table of team rows; the key is the team. */
    static final String TEAM_TABLE = "limit";

    /** The table of permit leases; the key is the holder. */
    static final String LEASE_TABLE = "permit-lease";

    private final Platform platform;

    LimitStore(Platform platform) {
        this.platform = Checks.notNull("platform", platform);
    }

    /** Executes an action of a holder; the stage fails if the platform does not answer. */
    CompletionStage<LimitEvent> execute(LimitAction action, String holder) {
        return switch (action) {
            case LimitAction.ReadLeases r ->
                    platform.scan(LEASE_TABLE).thenApply(LimitStore::toLeasesRead);
            case LimitAction.ReadRows r -> readRows(r.teams(), holder);
            case LimitAction.Commit c ->
                    platform.commit(toTransaction(c.commit())).thenApply(LimitStore::toEvent);
        };
    }

    private CompletionStage<LimitEvent> readRows(List<String> teams, String holder) {
        List<RowKey> keys = new ArrayList<>();
        keys.add(new RowKey(LEASE_TABLE, holder));
        teams.forEach(t -> keys.add(new RowKey(TEAM_TABLE, t)));
        return platform.read(keys).thenApply(rows -> toRowsRead(rows, teams));
    }

    private static LimitEvent toRowsRead(List<Row> rows, List<String> teams) {
        Optional<Versioned<HolderLease>> lease = Optional.empty();
        Map<String, Versioned<TeamRow>> teamRows = new HashMap<>();
        teams.forEach(t -> teamRows.put(t, new Versioned<>(0, TeamRow.EMPTY)));
        for (Row r : rows) {
            if (r.key().table().equals(LEASE_TABLE)) {
                lease = Optional.of(decodeLease(r));
            } else {
                TeamRow row = Json.decode(r.value(), TeamRow.class);
                teamRows.put(r.key().key(), new Versioned<>(r.version(), row));
            }
        }
        return new LimitEvent.RowsRead(lease, teamRows);
    }

    private static LimitEvent toLeasesRead(List<Row> rows) {
        return new LimitEvent.LeasesRead(rows.stream().map(LimitStore::decodeLease).toList());
    }

    private static Versioned<HolderLease> decodeLease(Row row) {
        return new Versioned<>(row.version(), Json.decode(row.value(), HolderLease.class));
    }

    private static LimitEvent toEvent(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed c -> new LimitEvent.Committed();
            case CommitResult.Conflict c -> new LimitEvent.Conflicted();
        };
    }

    private static Transaction toTransaction(LimitTransaction planned) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (LimitTransaction.TeamRowWrite w : planned.rows()) {
            RowKey key = new RowKey(TEAM_TABLE, w.team());
            conditions.add(new Transaction.Condition(key, w.version()));
            writes.add(Transaction.Write.put(key, Json.encode(w.row())));
        }
        for (LimitTransaction.LeaseWrite w : planned.leases()) {
            RowKey key = new RowKey(LEASE_TABLE, w.holder());
            conditions.add(new Transaction.Condition(key, w.version()));
            w.lease().ifPresent(l -> writes.add(Transaction.Write.put(key, Json.encode(l))));
            if (w.change() == LeaseChange.DELETE) {
                writes.add(Transaction.Write.delete(key));
            }
        }
        return new Transaction(planned.token(), conditions, writes);
    }
}
