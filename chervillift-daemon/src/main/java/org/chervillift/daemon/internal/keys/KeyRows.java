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
 * Ring and members as they were read, of one moment.
 *
 * @param ring the ring
 * @param ringRowVersion the version of the ring's row, 0 if there is none
 * @param members the processes that may answer a withdrawal
 * @param membersRowVersion the version of the members' row, 0 if there is none
 */
public record KeyRows(
        KeyRing ring, long ringRowVersion, KeyMembers members, long membersRowVersion) {

    /** The row that holds the keys in force. */
    public static final RowKey RING_ROW = new RowKey("keys", "ring");

    /** The row that names the processes that may answer a withdrawal. */
    public static final RowKey MEMBERS_ROW = new RowKey("keys", "members");

    /** Both rows. */
    public static final List<RowKey> ALL_ROWS = List.of(RING_ROW, MEMBERS_ROW);

    /** Returns what rows hold, among which other rows may be. */
    public static KeyRows decode(List<Row> rows) {
        Optional<Row> ring = find(rows, RING_ROW);
        Optional<Row> members = find(rows, MEMBERS_ROW);
        return new KeyRows(
                ring.map(r -> Json.decode(r.value(), KeyRing.class)).orElse(KeyRing.EMPTY),
                ring.map(Row::version).orElse(0L),
                members.map(r -> Json.decode(r.value(), KeyMembers.class)).orElse(KeyMembers.EMPTY),
                members.map(Row::version).orElse(0L));
    }

    /** Returns the condition that the ring is still as it was read. */
    Transaction.Condition ringUnchanged() {
        return new Transaction.Condition(RING_ROW, ringRowVersion);
    }

    /** Returns the condition that the members are still as they were read. */
    Transaction.Condition membersUnchanged() {
        return new Transaction.Condition(MEMBERS_ROW, membersRowVersion);
    }

    private static Optional<Row> find(List<Row> rows, RowKey key) {
        return rows.stream().filter(r -> r.key().equals(key)).findFirst();
    }
}
