package org.chervillift.standin.tasks;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongUnaryOperator;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.runtime.supervision.Scheduler;

/** A store of rows in memory, with faults that can be switched on. Used by one thread. */
public final class MemoryStore implements RowStore {

    /** How long a call takes unless it is set otherwise. */
    public static final Duration LATENCY = Duration.ofMillis(4);

    private static final long MAX_ROW_BYTES = 65_536;
    private static final long MAX_CALL_BYTES = 1_000_000;
    private static final int MAX_COMMIT_ENTRIES = 100;
    private static final double BASE64_LENGTH = 4.0 / 3;

    static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    static final Duration POLL_TIMEOUT = Duration.ofMillis(3_000);

    private final Scheduler scheduler;
    private final Later later;
    private final Map<String, Map<RowKey, Row>> parts = new HashMap<>();
    private final Deque<PastChange> history = new ArrayDeque<>();
    private long forgottenUpTo;
    private Optional<Duration> historyKept = Optional.empty();
    private StoreFault fault = StoreFault.NONE;
    private Duration latency = LATENCY;
    private LongUnaryOperator clock = LongUnaryOperator.identity();
    private long version;

    /** A change and the time when it was made, in milliseconds. */
    private record PastChange(Change change, long at) {}

    /** Creates an empty store. */
    public MemoryStore(Scheduler scheduler) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.later = new Later(scheduler);
    }

    /** Sets what ails it from now on. */
    public void setFault(StoreFault newFault) {
        this.fault = Checks.notNull("fault", newFault);
    }

    /** Sets how long a read or a commit takes from now on. */
    public void setLatency(Duration newLatency) {
        this.latency = Checks.notNull("latency", newLatency);
    }

    /**
     * Sets how its clock goes from now on.
     *
     * @param newClock returns its time for the scheduler's, both in milliseconds
     */
    public void setClock(LongUnaryOperator newClock) {
        this.clock = Checks.notNull("clock", newClock);
    }

    /** Forgets changes that are older than a time, from now on; else it forgets none. */
    public void keepHistory(Duration time) {
        this.historyKept = Optional.of(time);
    }

    /** Puts a row at once, as the operator and the workers do. */
    public void put(RowKey key, String value) {
        apply(COMMON_PART, List.of(), List.of(Write.put(key, value)));
    }

    /** Deletes a row at once. */
    public void delete(RowKey key) {
        apply(COMMON_PART, List.of(), List.of(Write.delete(key)));
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return later.complete(callTime(), () -> page(table, part, range, most));
    }

    private Page page(String table, String part, KeyRange range, int most) {
        checkUp();
        List<Row> rows =
                parts.getOrDefault(part, Map.of()).values().stream()
                        .filter(r -> r.key().table().equals(table))
                        .filter(r -> inRange(r.key().key(), range))
                        .sorted(Comparator.comparing(r -> r.key().key()))
                        .toList();
        int taken = Math.min(Math.min(most, MOST_ROWS), rowsInOneCall(rows));
        boolean hasMore = rows.size() > taken;
        List<Row> first = hasMore ? rows.subList(0, taken) : rows;
        return new Page(first, hasMore, version, clockMillis());
    }

    /** Returns how many rows, from the first on, fit in an answer; at least one. */
    private static int rowsInOneCall(List<Row> rows) {
        double bytes = 0;
        int count = 0;
        for (Row row : rows) {
            bytes += row.value().length() * BASE64_LENGTH;
            if (count > 0 && bytes > MAX_CALL_BYTES) {
                return count;
            }
            count++;
        }
        return count;
    }

    private static boolean inRange(String key, KeyRange range) {
        return range.from().map(f -> key.compareTo(f) >= 0).orElse(true)
                && range.until().map(u -> key.compareTo(u) < 0).orElse(true);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return later.complete(
                callTime(),
                () -> {
                    checkUp();
                    checkSize(conditions, writes);
                    Outcome outcome = apply(part, conditions, writes);
                    if (fault == StoreFault.LOSE_REPLIES) {
                        throw unanswered();
                    }
                    return outcome;
                });
    }

    private static void checkSize(List<Condition> conditions, List<Write> writes) {
        if (conditions.size() + writes.size() > MAX_COMMIT_ENTRIES) {
            throw refused("The transaction has too many entries.");
        }
        double bytes = 0;
        for (Write w : writes) {
            long value = w.value().map(v -> v.getBytes(StandardCharsets.UTF_8).length).orElse(0);
            bytes += value * BASE64_LENGTH;
            if (value > MAX_ROW_BYTES) {
                throw refused("A row is too large.");
            }
        }
        if (bytes > MAX_CALL_BYTES) {
            throw refused("The transaction is too large.");
        }
    }

    /** A client cannot tell this from an answer that got lost. */
    private static StoreException refused(String why) {
        return new StoreException(StoreException.Effect.UNKNOWN, why, null);
    }

    private Outcome apply(String part, List<Condition> conditions, List<Write> writes) {
        Map<RowKey, Row> rows = parts.computeIfAbsent(part, p -> new HashMap<>());
        if (!conditions.stream().allMatch(c -> versionOf(rows.get(c.key())) == c.version())) {
            return new Outcome.Conflict(
                    conditions.stream()
                            .map(c -> rows.get(c.key()))
                            .filter(Objects::nonNull)
                            .toList());
        }
        version++;
        for (Write w : writes) {
            w.value()
                    .ifPresentOrElse(
                            v -> rows.put(w.key(), new Row(w.key(), version, v)),
                            () -> rows.remove(w.key()));
            history.add(new PastChange(new Change(w.key(), version, w.value()), nowMillis()));
        }
        forgetOldHistory();
        return new Outcome.Committed(version, clockMillis());
    }

    private void forgetOldHistory() {
        if (historyKept.isEmpty()) {
            return;
        }
        long from = nowMillis() - historyKept.get().toMillis();
        while (history.getFirst().at() < from) {
            forgottenUpTo = history.removeFirst().change().version();
        }
    }

    private static long versionOf(Row row) {
        return row == null ? 0 : row.version();
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        CompletableFuture<Changes> future = new CompletableFuture<>();
        long until = nowMillis() + wait.toMillis();
        scheduler.schedule(LATENCY, () -> poll(table, afterVersion, until, future));
        return future;
    }

    private void poll(String table, long after, long until, CompletableFuture<Changes> future) {
        if (fault == StoreFault.SILENT) {
            scheduler.schedule(POLL_TIMEOUT, () -> future.completeExceptionally(unanswered()));
            return;
        }
        if (fault == StoreFault.DOWN) {
            future.completeExceptionally(refused());
            return;
        }
        if (fault == StoreFault.FORGETFUL || after < forgottenUpTo) {
            future.complete(new Changes.HistoryLost());
            return;
        }
        List<Change> rows = changesAfter(table, after);
        if (!rows.isEmpty() || nowMillis() >= until) {
            future.complete(new Changes.Next(rows, version, clockMillis()));
        } else {
            scheduler.schedule(LATENCY, () -> poll(table, after, until, future));
        }
    }

    /** Searches from the newest change back, as followers are seldom far behind. */
    private List<Change> changesAfter(String table, long after) {
        List<Change> newest = new ArrayList<>();
        for (PastChange past : (Iterable<PastChange>) history::descendingIterator) {
            if (past.change().version() <= after) {
                break;
            }
            if (past.change().key().table().equals(table)) {
                newest.add(past.change());
            }
        }
        return newest.reversed();
    }

    private Duration callTime() {
        return fault == StoreFault.SILENT ? CALL_TIMEOUT : latency;
    }

    private void checkUp() {
        if (fault == StoreFault.SILENT) {
            throw unanswered();
        }
        if (fault == StoreFault.DOWN) {
            throw refused();
        }
    }

    static StoreException unanswered() {
        return new StoreException(StoreException.Effect.UNKNOWN, "no answer", null);
    }

    private static StoreException refused() {
        return new StoreException(StoreException.Effect.NONE, "down", null);
    }

    private long clockMillis() {
        return clock.applyAsLong(nowMillis());
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    /** Returns the content of a row of the common part, if there is one. */
    public Optional<String> value(RowKey key) {
        return Optional.ofNullable(parts.getOrDefault(COMMON_PART, Map.of()).get(key))
                .map(Row::value);
    }
}
