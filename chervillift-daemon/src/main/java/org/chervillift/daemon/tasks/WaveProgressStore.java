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

/** Stores the progress of maintenance waves, and publishes their status to the operator. */
final class WaveProgressStore {

    private static final String TABLE = "waves";
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final HolderContext context;
    private final Map<Long, StoredWave> waves = new TreeMap<>();
    private final Set<Long> unstored = new HashSet<>();
    private final Set<Long> unpublished = new HashSet<>();
    private final Map<RowKey, Long> versions = new HashMap<>();
    private boolean loaded;
    private boolean writing;
    private boolean stopped;

    /**
     * The stored progress of a wave.
     *
     * @param number the number of the wave
     * @param startedWallMillis when the wave was first seen, in milliseconds since 1970 UTC
     * @param maintained the names of the VMs whose maintenance has begun
     * @param completed whether the wave is completed
     */
    private record StoredWave(
            long number, long startedWallMillis, List<String> maintained, boolean completed) {
        private StoredWave {
            maintained = List.copyOf(maintained);
        }
    }

    WaveProgressStore(HolderContext context) {
        this.context = Checks.notNull("context", context);
    }

    void stop() {
        stopped = true;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Reads the progress that earlier holders stored. */
    void load() {
        RetryingRead.start(
                context.supervision(),
                () -> stopped,
                () -> context.fencedStore().scan(TABLE, KeyRange.ALL),
                page -> {
                    page.rows().forEach(this::restore);
                    loaded = true;
                    writeNext();
                });
    }

    private void restore(Row row) {
        StoredWave wave = Json.decode(row.value(), StoredWave.class);
        waves.put(wave.number(), wave);
        versions.put(row.key(), row.version());
        // An earlier holder may have stopped before it published this.
        unpublished.add(wave.number());
    }

    /** Returns the waves that are not completed, and stores new ones. */
    List<Progress> openWaves(Collection<WaveOrder> orders, long now) {
        List<Progress> open = new ArrayList<>();
        long wallMillis = System.currentTimeMillis();
        for (WaveOrder order : orders) {
            StoredWave wave = waves.get(order.number());
            if (wave == null) {
                wave = new StoredWave(order.number(), wallMillis, List.of(), false);
                EventLog.log(
                        TaskEvent.WAVE_CHANGED,
                        Field.of("wave", order.number()),
                        Field.of("vms", order.vms().size()),
                        Field.of("cap", order.cap()),
                        Field.of("state", "begun"));
                put(wave, true);
            }
            if (!wave.completed()) {
                long age = Math.max(0, wallMillis - wave.startedWallMillis());
                open.add(new Progress(order, now - age, new HashSet<>(wave.maintained())));
            }
        }
        return open;
    }

    /** Records that the maintenance of a VM has begun. */
    void recordMaintenance(long number, String vm) {
        StoredWave wave = waves.get(number);
        Set<String> done = new TreeSet<>(wave.maintained());
        done.add(vm);
        put(
                new StoredWave(
                        number, wave.startedWallMillis(), List.copyOf(done), wave.completed()),
                false);
    }

    /**
     * Records that a wave is completed.
     *
     * @param gone how many of its VMs no longer exist
     */
    void recordCompletion(long number, long gone) {
        StoredWave wave = waves.get(number);
        EventLog.log(
                TaskEvent.WAVE_CHANGED,
                Field.of("wave", number),
                Field.of("maintained", wave.maintained().size()),
                Field.of("gone", gone),
                Field.of("state", "completed"));
        put(new StoredWave(number, wave.startedWallMillis(), wave.maintained(), true), true);
    }

    private void put(StoredWave wave, boolean publish) {
        waves.put(wave.number(), wave);
        unstored.add(wave.number());
        if (publish) {
            unpublished.add(wave.number());
        }
        writeNext();
    }

    private void writeNext() {
        if (writing || stopped) {
            return;
        }
        if (!unstored.isEmpty()) {
            storeWave(unstored.iterator().next());
        } else if (!unpublished.isEmpty()) {
            publishStatus(unpublished.iterator().next());
        }
    }

    /** Stores a wave; the condition keeps a delayed write from overwriting a later one. */
    private void storeWave(long number) {
        StoredWave wave = waves.get(number);
        RowKey key = new RowKey(TABLE, Long.toString(number));
        Write write = Write.put(key, Json.encode(wave));
        handleOutcome(
                context.fencedStore().commit(List.of(unchangedSinceRead(key)), List.of(write)),
                key,
                () -> removeIfUnchanged(unstored, number, wave),
                current -> {});
    }

    /**
     * Publishes the status of a wave to the operator.
     *
     * <p>Called only once the progress is stored, so that a successor never publishes an earlier
     * status. The row must have the version last seen: a delayed write of this process or of a
     * former holder cannot undo that a wave is completed.
     */
    private void publishStatus(long number) {
        StoredWave wave = waves.get(number);
        Write write = context.rows().waveStatus(number, wave.completed());
        handleOutcome(
                context.store()
                        .commit(
                                RowStore.COMMON_PART,
                                List.of(unchangedSinceRead(write.key())),
                                List.of(write)),
                write.key(),
                () -> removeIfUnchanged(unpublished, number, wave),
                current -> {
                    if (isUpToDate(current, write, number)) {
                        removeIfUnchanged(unpublished, number, wave);
                    }
                });
    }

    private Condition unchangedSinceRead(RowKey key) {
        return new Condition(key, versions.getOrDefault(key, 0L));
    }

    /** Returns whether the published status equals the one to be written, or is completed. */
    private boolean isUpToDate(Optional<Row> current, Write write, long number) {
        Optional<String> published = current.map(Row::value);
        return published.equals(write.value())
                || published.equals(context.rows().waveStatus(number, true).value());
    }

    private void removeIfUnchanged(Set<Long> pendingNumbers, long number, StoredWave written) {
        if (waves.get(number).equals(written)) {
            pendingNumbers.remove(number);
        }
    }

    private void handleOutcome(
            CompletionStage<Outcome> commit,
            RowKey row,
            Runnable onDone,
            Consumer<Optional<Row>> onConflict) {
        writing = true;
        context.supervision()
                .whenAnswered(
                        "waves",
                        commit,
                        (outcome, fault) -> {
                            writing = false;
                            switch (outcome) {
                                case Outcome.Committed c -> {
                                    versions.put(row, c.version());
                                    onDone.run();
                                    writeNext();
                                }
                                case Outcome.Conflict conflict -> {
                                    Optional<Row> current = currentRow(conflict, row);
                                    versions.put(row, current.map(Row::version).orElse(0L));
                                    onConflict.accept(current);
                                    scheduleRetry();
                                }
                                case null -> scheduleRetry();
                            }
                        },
                        this::scheduleRetry);
    }

    private static Optional<Row> currentRow(Outcome.Conflict conflict, RowKey row) {
        return conflict.current().stream().filter(r -> r.key().equals(row)).findFirst();
    }

    private void retry() {
        if (!context.supervision().run("waves", this::writeNext)) {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        if (!stopped) {
            context.scheduler().schedule(RETRY_DELAY, this::retry);
        }
    }
}
