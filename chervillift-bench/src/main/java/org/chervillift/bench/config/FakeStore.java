package org.chervillift.bench.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;

/** The rows and objects of a platform, with transactions and tokens. */
final class FakeStore {

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<RowKey, Long> versions = new HashMap<>();
    private final Map<String, CommitResult> outcomes = new HashMap<>();
    private final Map<String, String> objects = new TreeMap<>();

    List<Row> read(List<RowKey> keys) {
        return keys.stream().filter(rows::containsKey).map(rows::get).toList();
    }

    List<Row> scan(String table) {
        List<Row> found = new ArrayList<>();
        rows.values().stream().filter(r -> r.key().table().equals(table)).forEach(found::add);
        return found;
    }

    CommitResult commit(Transaction transaction) {
        return outcomes.computeIfAbsent(transaction.token(), t -> carryOut(transaction));
    }

    Optional<String> object(String name) {
        return Optional.ofNullable(objects.get(name));
    }

    void putObject(String name, String content) {
        String before = objects.putIfAbsent(name, content);
        if (before != null && !before.equals(content)) {
            throw new IllegalStateException("object " + name + " was written with other content");
        }
    }

    private CommitResult carryOut(Transaction transaction) {
        for (Transaction.Condition c : transaction.conditions()) {
            long actual = rows.containsKey(c.key()) ? rows.get(c.key()).version() : 0;
            if (actual != c.version()) {
                return new CommitResult.Conflict(c.key());
            }
        }
        for (Transaction.Write w : transaction.writes()) {
            long version = versions.merge(w.key(), 1L, Long::sum);
            if (w.value().isPresent()) {
                rows.put(w.key(), new Row(w.key(), version, w.value().get()));
            } else {
                rows.remove(w.key());
            }
        }
        return new CommitResult.Committed();
    }
}
