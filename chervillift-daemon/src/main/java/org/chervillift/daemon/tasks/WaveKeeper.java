package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.core.tasks.vms.FleetWavePlanner.Progress;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Keeps how far the waves are, in rows of its own and in those that the operator reads. */
final class WaveKeeper {

    private static final String TABLE = "waves";
    private static final Duration RETRY = Duration.ofMillis(300);

    private final HolderContext context;
    private final Map<Long, StoredWave> waves = new TreeMap<>();
    private final Set<Long> unstored = new HashSet<>();
    private final Set<Long> untold = new HashSet<>();
    private final Map<RowKey, Long> versions = new HashMap<>();
    private boolean loaded;
    private boolean writing;
    private boolean stopped;

    /**
     * A wave as it is stored.
     *
     * @param number the wave
     * @param startedWallMillis when it was first seen, in milliseconds since 1970 UTC
     * @param maintained the VMs whose maintenance has begun
     * @param completed whether the operator is told that it is completed
     */
    private record StoredWave(
            long number, long startedWallMillis, List<String> maintained, boolean completed) {
        private StoredWave {
            maintained = List.copyOf(maintained);
        }
    }

    WaveKeeper(HolderContext context) {
        this.context = Checks.notNull("context", context);
    }

    void stop() {
        stopped = true;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Reads what an earlier holder stored. */
    void load() {
        FirstRead.until(
                context.scheduler(),
                () -> stopped,
                () -> context.own().scan(TABLE, KeyRange.ALL),
                page -> {
                    page.rows().forEach(this::take);
                    loaded = true;
                    write();
                });
    }

    private void take(Row row) {
        StoredWave wave = Json.decode(row.value(), StoredWave.class);
        waves.put(wave.number(), wave);
        versions.put(row.key(), row.version());
        // The earlier holder may have stopped before it told this.
        untold.add(wave.number());
    }

    /** Returns the waves that are not completed, and remembers new ones. */
    List<Progress> open(Collection<WaveOrder> orders, long now) {
        List<Progress> open = new ArrayList<>();
        long wall = System.currentTimeMillis();
        for (WaveOrder order : orders) {
            StoredWave wave = waves.get(order.number());
            if (wave == null) {
                wave = new StoredWave(order.number(), wall, List.of(), false);
                EventLog.log(
                        TaskEvent.WAVE,
                        Field.of("wave", order.number()),
                        Field.of("vms", order.vms().size()),
                        Field.of("cap", order.cap()),
                        Field.of("state", "begun"));
                put(wave, true);
            }
            if (!wave.completed()) {
                long age = Math.max(0, wall - wave.startedWallMillis());
                open.add(new Progress(order, now - age, new HashSet<>(wave.maintained())));
            }
        }
        return open;
    }

    /** Notes that the maintenance of a VM has begun. */
    void maintained(long number, String vm) {
        StoredWave wave = waves.get(number);
        Set<String> done = new TreeSet<>(wave.maintained());
        done.add(vm);
        put(
                new StoredWave(
                        number, wave.startedWallMillis(), List.copyOf(done), wave.completed()),
                false);
    }

    /**
     * Notes that a wave is completed.
     *
     * @param gone how many of its VMs do not exist any more
     */
    void completed(long number, long gone) {
        StoredWave wave = waves.get(number);
        EventLog.log(
                TaskEvent.WAVE,
                Field.of("wave", number),
                Field.of("maintained", wave.maintained().size()),
                Field.of("gone", gone),
                Field.of("state", "completed"));
        put(new StoredWave(number, wave.startedWallMillis(), wave.maintained(), true), true);
    }

    private void put(StoredWave wave, boolean tell) {
        waves.put(wave.number(), wave);
        unstored.add(wave.number());
        if (tell) {
            untold.add(wave.number());
        }
        write();
    }

    private void write() {
        if (writing || stopped) {
            return;
        }
        if (!unstored.isEmpty()) {
            writeOwn(unstored.iterator().next());
        } else if (!untold.isEmpty()) {
            tell(untold.iterator().next());
        }
    }

    /** Stores a wave; a delayed write of this process cannot take back what came after it. */
    private void writeOwn(long number) {
        StoredWave wave = waves.get(number);
        RowKey key = new RowKey(TABLE, Long.toString(number));
        Write write = Write.put(key, Json.encode(wave));
        finish(
                context.own().commit(List.of(asKnown(key)), List.of(write)),
                key,
                () -> settled(unstored, number, wave),
                current -> {});
    }

    /**
     * Tells the operator; only after it is stored, so that no successor tells less.
     *
     * <p>The condition is that the row is as it was last seen: a delayed write of this process or
     * of a former holder cannot take back that a wave is completed.
     */
    private void tell(long number) {
        StoredWave wave = waves.get(number);
        Write write = context.rows().waveStatus(number, wave.completed());
        finish(
                context.store()
                        .commit(
                                RowStore.COMMON_PART,
                                List.of(asKnown(write.key())),
                                List.of(write)),
                write.key(),
                () -> settled(untold, number, wave),
                current -> {
                    if (saysAsMuch(current, write, number)) {
                        settled(untold, number, wave);
                    }
                });
    }

    private Condition asKnown(RowKey key) {
        return new Condition(key, versions.getOrDefault(key, 0L));
    }

    /** Returns whether what the operator reads is what would be written, or goes beyond it. */
    private boolean saysAsMuch(Optional<Row> current, Write write, long number) {
        Optional<String> said = current.map(Row::value);
        return said.equals(write.value())
                || said.equals(context.rows().waveStatus(number, true).value());
    }

    private void settled(Set<Long> open, long number, StoredWave written) {
        if (waves.get(number).equals(written)) {
            open.remove(number);
        }
    }

    private void finish(
            CompletionStage<Outcome> commit,
            RowKey row,
            Runnable onDone,
            Consumer<Optional<Row>> onConflict) {
        writing = true;
        commit.whenComplete(
                (outcome, fault) -> {
                    writing = false;
                    switch (outcome) {
                        case Outcome.Committed c -> {
                            versions.put(row, c.version());
                            onDone.run();
                            write();
                        }
                        case Outcome.Conflict conflict -> {
                            Optional<Row> current = current(conflict, row);
                            versions.put(row, current.map(Row::version).orElse(0L));
                            onConflict.accept(current);
                            again();
                        }
                        case null -> again();
                    }
                });
    }

    private static Optional<Row> current(Outcome.Conflict conflict, RowKey row) {
        return conflict.current().stream().filter(r -> r.key().equals(row)).findFirst();
    }

    private void again() {
        if (!stopped) {
            context.scheduler().schedule(RETRY, this::write);
        }
    }
}
