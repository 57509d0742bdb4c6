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
 * @param ringRow the version of the ring's row, 0 if there is none
 * @param members the processes that may answer a withdrawal
 * @param membersRow the version of the members' row, 0 if there is none
 */
public record KeyRows(KeyRing ring, long ringRow, KeyMembers members, long membersRow) {

    /** The row that holds the keys in force. */
    public static final RowKey RING = new RowKey("keys", "ring");

    /** The row that names the processes that may answer a withdrawal. */
    public static final RowKey MEMBERS = new RowKey("keys", "members");

    /** Both rows. */
    public static final List<RowKey> ALL = List.of(RING, MEMBERS);

    /** Returns what rows hold, among which other rows may be. */
    public static KeyRows of(List<Row> rows) {
        Optional<Row> ring = find(rows, RING);
        Optional<Row> members = find(rows, MEMBERS);
        return new KeyRows(
                ring.map(r -> Json.decode(r.value(), KeyRing.class)).orElse(KeyRing.EMPTY),
                ring.map(Row::version).orElse(0L),
                members.map(r -> Json.decode(r.value(), KeyMembers.class)).orElse(KeyMembers.EMPTY),
                members.map(Row::version).orElse(0L));
    }

    /** Returns the condition that the ring is still as it was read. */
    Transaction.Condition ringUnchanged() {
        return new Transaction.Condition(RING, ringRow);
    }

    /** Returns the condition that the members are still as they were read. */
    Transaction.Condition membersUnchanged() {
        return new Transaction.Condition(MEMBERS, membersRow);
    }

    private static Optional<Row> find(List<Row> rows, RowKey key) {
        return rows.stream().filter(r -> r.key().equals(key)).findFirst();
    }
}
