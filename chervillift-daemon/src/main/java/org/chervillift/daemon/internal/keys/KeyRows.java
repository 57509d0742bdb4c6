package org.chervillift.daemon.internal.keys;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.config.KeyMembers;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.http.Json;

/**
 * A consistent snapshot of the key ring and its members, with the versions of their rows.
 *
 * @param ring the key ring
 * @param ringRowVersion the version of the ring's row, 0 if the row does not exist
 * @param members the processes that may confirm a withdrawal
 * @param membersRowVersion the version of the members' row, 0 if the row does not exist
 */
public record KeyRows(
        KeyRing ring, long ringRowVersion, KeyMembers members, long membersRowVersion) {

    /** The row that holds the active keys. */
    public static final RowKey RING_ROW = new RowKey("keys", "ring");

    /** The row that lists the processes that may confirm a withdrawal. */
    public static final RowKey MEMBERS_ROW = new RowKey("keys", "members");

    /** The keys of both rows, to be read together. */
    public static final List<RowKey> ALL_ROWS = List.of(RING_ROW, MEMBERS_ROW);

    /** Decodes the ring and the members from rows; other rows are ignored. */
    public static KeyRows decode(List<Row> rows) {
        Optional<Row> ring = find(rows, RING_ROW);
        Optional<Row> members = find(rows, MEMBERS_ROW);
        return new KeyRows(
                ring.map(r -> Json.decode(r.value(), KeyRing.class)).orElse(KeyRing.EMPTY),
                ring.map(Row::version).orElse(0L),
                members.map(r -> Json.decode(r.value(), KeyMembers.class)).orElse(KeyMembers.EMPTY),
                members.map(Row::version).orElse(0L));
    }

    /** Returns the condition that the ring's row is unchanged since it was read. */
    Transaction.Condition ringUnchanged() {
        return new Transaction.Condition(RING_ROW, ringRowVersion);
    }

    /** Returns the condition that the members' row is unchanged since it was read. */
    Transaction.Condition membersUnchanged() {
        return new Transaction.Condition(MEMBERS_ROW, membersRowVersion);
    }

    private static Optional<Row> find(List<Row> rows, RowKey key) {
        return rows.stream().filter(r -> r.key().equals(key)).findFirst();
    }
}
