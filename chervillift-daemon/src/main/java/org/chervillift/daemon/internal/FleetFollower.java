package org.chervillift.daemon.internal;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.config.VersionGuard;
import org.chervillift.core.keys.KeyAuthenticator;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.daemon.internal.keys.KeyRows;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Reads configuration, keys and VMs from the platform again and again.
 *
 * <p>It never adopts a lower version. When the platform is away it keeps what it has.
 */
public final class FleetFollower implements Part {

    private static final List<RowKey> ROWS =
            List.of(ConfigRows.HEAD_KEY, KeyRows.RING, KeyRows.MEMBERS);

    private final Platform platform;
    private final Scheduler scheduler;
    private final DaemonSettings settings;
    private final KeyAuthenticator keyGate;
    private final KeyFreshness freshness;
    private FleetView view = FleetView.EMPTY;
    private VersionGuard configGuard = VersionGuard.NONE;
    private FollowerListener listener = FollowerListener.NONE;
    private List<Row> vmRows = List.of();
    private boolean platformLost;
    private boolean running;

    /** Creates a follower of a platform. */
    public FleetFollower(
            Platform platform,
            Scheduler scheduler,
            DaemonSettings settings,
            KeyAuthenticator keyGate,
            KeyFreshness freshness) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.settings = Checks.notNull("settings", settings);
        this.keyGate = Checks.notNull("keyGate", keyGate);
        this.freshness = Checks.notNull("freshness", freshness);
    }

    /** Returns what this process knows now. */
    public FleetView view() {
        takeRingOfGate();
        return view;
    }

    /** Tells a listener of each answer of the platform from now on. */
    public void listen(FollowerListener newListener) {
        listener = Checks.notNull("newListener", newListener);
    }

    /** Returns the data centres that have VMs. */
    public Set<String> dataCentres() {
        return view.vms().stream().map(VmRow::dataCentre).collect(Collectors.toSet());
    }

    @Override
    public String name() {
        return "fleet-follower";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        return refreshAndRepeat();
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return CompletableFuture.completedFuture(null);
    }

    private CompletionStage<Void> refreshAndRepeat() {
        return refresh()
                .handle(
                        (ignored, fault) -> {
                            noteOutcome(fault);
                            if (running) {
                                scheduler.schedule(settings.refresh(), this::refreshAndRepeat);
                            }
                            return null;
                        });
    }

    /** Reads the platform once, now. */
    public CompletionStage<Void> refresh() {
        Instant asked = scheduler.now();
        return platform.read(ROWS)
                .thenCompose(rows -> adoptRows(rows, asked))
                .thenRun(() -> listener.storeRead(asked))
                .thenCompose(ignored -> platform.scan(VmRow.TABLE))
                .thenCombine(platform.listVms(), (rows, vms) -> adoptVms(rows, vms, asked))
                .thenAccept(ignored -> view = view.withReadAt(asked));
    }

    private CompletionStage<Void> adoptRows(List<Row> rows, Instant asked) {
        KeyRows keys = KeyRows.of(rows);
        adopt(keys.ring());
        freshness.onStoreRead(asked, keys.ring().version(), keys.members());
        Optional<ConfigHead> head =
                rows.stream()
                        .filter(r -> r.key().equals(ConfigRows.HEAD_KEY))
                        .map(r -> Json.decode(r.value(), ConfigHead.class))
                        .findFirst();
        if (head.isEmpty() || head.get().version() <= configGuard.version()) {
            return CompletableFuture.completedFuture(null);
        }
        return platform.getObject(head.get().object()).thenAccept(o -> adopt(head.get(), o));
    }

    /** Takes a ring from the store or a peer, unless it is not newer. */
    public void adopt(KeyRing ring) {
        keyGate.adoptIfNewer(ring);
        takeRingOfGate();
    }

    /** An operator's change reaches the gate before this process reads it back. */
    private void takeRingOfGate() {
        KeyRing ring = keyGate.ring();
        if (ring.version() > view.keys().version()) {
            view = view.adopt(ring);
            EventLog.log(DaemonEvent.KEYS_ADOPTED, Field.of("version", ring.version()));
        }
    }

    /** Takes a configuration from the store or a peer, unless it is not newer. */
    public void adopt(FleetConfig config) {
        switch (configGuard.decideOnOffer(config.version(), ConfigDigest.of(config))) {
            case VersionGuard.Adopt a -> {
                configGuard = a.next();
                view = view.adopt(config);
                EventLog.log(DaemonEvent.CONFIG_ADOPTED, Field.of("version", config.version()));
            }
            case VersionGuard.DigestConflict c ->
                    EventLog.log(
                            DaemonEvent.CONFIG_CONTRADICTED,
                            Field.of("version", config.version()),
                            Field.of("held", c.heldDigest()),
                            Field.of("offered", c.offeredDigest()));
            case VersionGuard.Keep k -> {}
        }
    }

    private void adopt(ConfigHead head, Optional<String> content) {
        String text =
                content.orElseThrow(
                        () ->
                                new ChervilliftException(
                                        ErrorCode.NOT_FOUND, "The object " + head.object()));
        adopt(Json.decode(text, FleetConfig.class));
    }

    private Void adoptVms(List<Row> rows, List<ListedVm> listed, Instant asked) {
        listener.listRead(listed, asked);
        List<VmRow> vms = rows.equals(vmRows) ? view.vms() : decodeVms(rows);
        vmRows = rows;
        view = view.withVms(vms, listed);
        return null;
    }

    private static List<VmRow> decodeVms(List<Row> rows) {
        return rows.stream().map(r -> Json.decode(r.value(), VmRow.class)).toList();
    }

    private void noteOutcome(Throwable fault) {
        if (fault != null && !platformLost) {
            EventLog.log(DaemonEvent.PLATFORM_LOST, Field.of("detail", fault.getMessage()));
        }
        if (fault == null && platformLost) {
            EventLog.log(DaemonEvent.PLATFORM_FOUND);
        }
        platformLost = fault != null;
    }
}
