package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.relay.RelayPeer;
import org.chervillift.core.tasks.relay.RelayPeers;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.settings.HostPort;

/**
 * Lists this process among the entry VMs in the store, and follows the others.
 *
 * <p>The row is written at the start and deleted at a planned stop, if it is still this process's.
 * The rows of VMs that are gone stay: a peer that does not answer is skipped. A failed poll of this
 * table must not count as an outage of the store, so the calls are not those of {@link
 * MonitoredStore}.
 */
final class EntryVmDirectory implements TableFollower.Listener {

    static final String TABLE = "entry-vms";
    static final String PARTITION = "entry-vms";

    /** Long, since the table changes at starts and stops only. */
    static final Duration POLL_WAIT = Duration.ofSeconds(10);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);
    private static final String LOOP = "entry VM row";

    /** No row of this process is known. */
    private static final long NO_VERSION = 0;

    private final RowStore store;
    private final Supervision supervision;
    private final RelayPeer self;
    private final RelayPeers peers;
    private final TableFollower follower;
    private final Map<String, RelayPeer> known = new TreeMap<>();
    private long ownVersion = NO_VERSION;
    private boolean stopping;

    /**
     * The stored form of an entry VM.
     *
     * @param address the address on which it accepts relayed requests
     * @param dataCentre its data centre
     * @param process the process that wrote the row
     */
    record EntryVmRow(String address, String dataCentre, String process) {}

    EntryVmDirectory(
            RowStore store,
            Supervision supervision,
            Supplier<StoreClock> storeClock,
            RelayPeer self,
            RelayPeers peers) {
        this.store = Checks.notNull("store", store);
        this.supervision = Checks.notNull("supervision", supervision);
        this.self = Checks.notNull("self", self);
        this.peers = Checks.notNull("peers", peers);
        this.follower =
                new TableFollower(
                        store, TABLE, List.of(PARTITION), POLL_WAIT, supervision, storeClock, this);
    }

    void start() {
        follower.start();
        write(MIN_RETRY_DELAY);
    }

    private RowKey key() {
        return new RowKey(TABLE, self.vm());
    }

    private void write(Duration retryDelay) {
        if (stopping) {
            return;
        }
        EntryVmRow row = new EntryVmRow(self.address(), self.dataCentre(), self.process());
        supervision.whenAnswered(
                LOOP,
                store.commit(PARTITION, List.of(), List.of(Write.put(key(), Json.encode(row)))),
                (outcome, fault) -> {
                    if (outcome instanceof Outcome.Committed c) {
                        ownVersion = Math.max(ownVersion, c.version());
                    } else {
                        retry(retryDelay);
                    }
                },
                () -> retry(retryDelay));
    }

    private void retry(Duration delay) {
        Duration next = delay.multipliedBy(2);
        Duration bounded = next.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : next;
        supervision.scheduler().schedule(delay, () -> write(bounded));
    }

    /** Deletes the row of this process, unless another process has replaced it. */
    void leave() {
        stopping = true;
        if (ownVersion != NO_VERSION) {
            supervision.whenAnswered(
                    LOOP,
                    store.commit(
                            PARTITION,
                            List.of(new Condition(key(), ownVersion)),
                            List.of(Write.delete(key()))),
                    (outcome, fault) -> {},
                    () -> {});
        }
    }

    void stop() {
        follower.stop();
    }

    @Override
    public void loaded(List<Row> rows) {
        known.clear();
        rows.forEach(r -> apply(r.key().key(), r.version(), Optional.of(r.value())));
        if (ownVersion != NO_VERSION && !known.containsKey(self.vm())) {
            // The deletion of the row is not told as a change if the store has lost its history.
            write(MIN_RETRY_DELAY);
        }
        publish();
    }

    @Override
    public void changed(List<Change> changes) {
        changes.forEach(c -> apply(c.key().key(), c.version(), c.value()));
        publish();
    }

    private void apply(String vm, long version, Optional<String> value) {
        known.remove(vm);
        value.flatMap(v -> decode(vm, v)).ifPresent(peer -> known.put(vm, peer));
        if (vm.equals(self.vm()) && value.isEmpty()) {
            // Nobody else deletes the row on purpose while this process lives.
            write(MIN_RETRY_DELAY);
        }
        if (self.equals(known.get(vm))) {
            ownVersion = Math.max(ownVersion, version);
        }
    }

    private static Optional<RelayPeer> decode(String vm, String value) {
        try {
            EntryVmRow row = Json.decode(value, EntryVmRow.class);
            HostPort.parse(row.address());
            return Optional.of(new RelayPeer(vm, row.address(), row.dataCentre(), row.process()));
        } catch (RuntimeException e) {
            EventLog.log(
                    TaskEvent.ROW_UNREADABLE, Field.of("key", vm), Field.of("why", e.getMessage()));
            return Optional.empty();
        }
    }

    private void publish() {
        peers.update(new ArrayList<>(known.values()));
    }
}
