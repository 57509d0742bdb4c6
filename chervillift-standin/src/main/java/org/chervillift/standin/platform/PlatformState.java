package org.chervillift.standin.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;

/** What the platform keeps. Used by one thread. */
public final class PlatformState {

    private static final int MOST_TOKENS = 200_000;
    private static final Comparator<RowKey> ORDER =
            Comparator.comparing(RowKey::table).thenComparing(RowKey::key);

    private final TreeMap<RowKey, Row> rows = new TreeMap<>(ORDER);
    private final Map<String, String> objects = new HashMap<>();
    private final Map<String, CommitResult> outcomes =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, CommitResult> eldest) {
                    return size() > MOST_TOKENS;
                }
            };
    private long lastVersion;

    /** Reads rows by key. */
    public List<Row> read(List<RowKey> keys) {
        List<Row> found = new ArrayList<>();
        for (RowKey k : keys) {
            Row row = rows.get(k);
            if (row != null) {
                found.add(row);
            }
        }
        return found;
    }

    /** Reads all rows of a table, ordered by key. */
    public List<Row> scan(String table) {
        List<Row> found = new ArrayList<>();
        for (Row r : rows.tailMap(new RowKey(table, "!")).values()) {
            if (!r.key().table().equals(table)) {
                break;
            }
            found.add(r);
        }
        return found;
    }

    /** Carries out a transaction; the same token gets the outcome of the first time. */
    public CommitResult commit(Transaction transaction) {
        CommitResult known = outcomes.get(transaction.token());
        if (known != null) {
            return known;
        }
        CommitResult result = decide(transaction);
        if (result instanceof CommitResult.Committed) {
            transaction.writes().forEach(this::write);
            outcomes.put(transaction.token(), result);
        }
        return result;
    }

    private CommitResult decide(Transaction transaction) {
        for (Transaction.Condition c : transaction.conditions()) {
            Row row = rows.get(c.key());
            long version = row == null ? 0 : row.version();
            if (version != c.version()) {
                return new CommitResult.Conflict(c.key());
            }
        }
        return new CommitResult.Committed();
    }

    private void write(Transaction.Write write) {
        lastVersion++;
        if (write.value().isPresent()) {
            rows.put(write.key(), new Row(write.key(), lastVersion, write.value().get()));
        } else {
            rows.remove(write.key());
        }
    }

    /** Reads an object. */
    public Optional<String> getObject(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    /**
     * Writes an object.
     *
     * @throws ChervilliftException with {@link ErrorCode#CONFLICT} if the name has other content
     */
    public void putObject(String name, String content) {
        Checks.notNull("content", content);
        String known = objects.putIfAbsent(name, content);
        if (known != null && !known.equals(content)) {
            throw new ChervilliftException(ErrorCode.CONFLICT, name + " has other content.");
        }
    }
}
