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
 * Holds the configuration, keys and VMs, and refreshes them from the platform at an interval.
 *
 * <p>Adopts configurations and keys from peers as well, and never a lower version. While the
 * platform is unavailable, it keeps the data it has.
 */
public final class FleetFollower implements Part {

    private static final List<RowKey> CONFIG_AND_KEY_ROWS =
            List.of(ConfigRows.HEAD_KEY, KeyRows.RING_ROW, KeyRows.MEMBERS_ROW);

    private final Platform platform;
    private final Scheduler scheduler;
    private final DaemonSettings settings;
    private final KeyAuthenticator keyAuthenticator;
    private final KeyFreshness keyFreshness;
    private FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private VersionGuard configGuard = VersionGuard.NONE;
    private PlatformReadListener listener = PlatformReadListener.NONE;
    private List<Row> lastVmRows = List.of();
    private boolean platformUnavailable;
    private boolean running;

    /** Creates a follower that has read nothing yet. */
    public FleetFollower(
            Platform platform,
            Scheduler scheduler,
            DaemonSettings settings,
            KeyAuthenticator keyAuthenticator,
            KeyFreshness keyFreshness) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.settings = Checks.notNull("settings", settings);
        this.keyAuthenticator = Checks.notNull("keyAuthenticator", keyAuthenticator);
        this.keyFreshness = Checks.notNull("keyFreshness", keyFreshness);
    }

    /** Returns the current data, with the newest key ring that this process holds. */
    public FleetSnapshot snapshot() {
        adoptRingOfAuthenticator();
        return snapshot;
    }

    /** Sets the listener to notify of each successful read, in place of the previous one. */
    public void setListener(PlatformReadListener newListener) {
        listener = Checks.notNull("newListener", newListener);
    }

    /** Returns the data centres that have VMs. */
    public Set<String> dataCentres() {
        return snapshot.vms().stream().map(VmRow::dataCentre).collect(Collectors.toSet());
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
                        (ignored, error) -> {
                            logAvailabilityChange(error);
                            if (running) {
                                scheduler.schedule(
                                        settings.refreshInterval(), this::refreshAndRepeat);
                            }
                            return null;
                        });
    }

    /** Reads the platform once, immediately. */
    public CompletionStage<Void> refresh() {
        Instant readStartedAt = scheduler.now();
        return platform.read(CONFIG_AND_KEY_ROWS)
                .thenCompose(rows -> adoptRows(rows, readStartedAt))
                .thenRun(() -> listener.onStoreRead(readStartedAt))
                .thenCompose(ignored -> platform.scan(VmRow.TABLE))
                .thenCombine(platform.listVms(), (rows, vms) -> adoptVms(rows, vms, readStartedAt))
                .thenAccept(ignored -> snapshot = snapshot.withLastReadAt(readStartedAt));
    }

    private CompletionStage<Void> adoptRows(List<Row> rows, Instant readStartedAt) {
        KeyRows keyRows = KeyRows.decode(rows);
        adoptIfNewer(keyRows.ring());
        keyFreshness.onStoreRead(readStartedAt, keyRows.ring().version(), keyRows.members());
        Optional<ConfigHead> head =
                rows.stream()
                        .filter(r -> r.key().equals(ConfigRows.HEAD_KEY))
                        .map(r -> Json.decode(r.value(), ConfigHead.class))
                        .findFirst();
        if (head.isEmpty() || head.get().version() <= configGuard.version()) {
            return CompletableFuture.completedFuture(null);
        }
        return platform.getObject(head.get().object()).thenAccept(o -> adoptIfNewer(head.get(), o));
    }

    /** Adopts a key ring from the store or a peer if it is newer. */
    public void adoptIfNewer(KeyRing ring) {
        keyAuthenticator.adoptIfNewer(ring);
        adoptRingOfAuthenticator();
    }

    /**
     * Copies a newer ring from the authenticator to the snapshot.
     *
     * <p>The authenticator adopts an operator's change before this process reads it from the store.
     */
    private void adoptRingOfAuthenticator() {
        KeyRing ring = keyAuthenticator.ring();
        if (ring.version() > snapshot.keys().version()) {
            snapshot = snapshot.adoptIfNewer(ring);
            EventLog.log(DaemonEvent.KEYS_ADOPTED, Field.of("version", ring.version()));
        }
    }

    /** Adopts a configuration from the store or a peer if it is newer. */
    public void adoptIfNewer(FleetConfig config) {
        switch (configGuard.decideOnOffer(config.version(), ConfigDigest.of(config))) {
            case VersionGuard.Adopt adopt -> {
                configGuard = adopt.next();
                snapshot = snapshot.adoptIfNewer(config);
                EventLog.log(DaemonEvent.CONFIG_ADOPTED, Field.of("version", config.version()));
            }
            case VersionGuard.DigestConflict conflict ->
                    EventLog.log(
                            DaemonEvent.CONFIG_DIGEST_CONFLICT,
                            Field.of("version", config.version()),
                            Field.of("held", conflict.heldDigest()),
                            Field.of("offered", conflict.offeredDigest()));
            case VersionGuard.Keep k -> {}
        }
    }

    private void adoptIfNewer(ConfigHead head, Optional<String> content) {
        String text =
                content.orElseThrow(
                        () ->
                                new ChervilliftException(
                                        ErrorCode.NOT_FOUND,
                                        "The configuration object " + head.object()));
        adoptIfNewer(Json.decode(text, FleetConfig.class));
    }

    private Void adoptVms(List<Row> rows, List<ListedVm> listed, Instant readStartedAt) {
        listener.onVmListRead(listed, readStartedAt);
        List<VmRow> vms = rows.equals(lastVmRows) ? snapshot.vms() : decodeVms(rows);
        lastVmRows = rows;
        snapshot = snapshot.withVms(vms, listed);
        return null;
    }

    private static List<VmRow> decodeVms(List<Row> rows) {
        return rows.stream().map(r -> Json.decode(r.value(), VmRow.class)).toList();
    }

    private void logAvailabilityChange(Throwable error) {
        if (error != null && !platformUnavailable) {
            EventLog.log(DaemonEvent.PLATFORM_UNAVAILABLE, Field.of("detail", error.getMessage()));
        }
        if (error == null && platformUnavailable) {
            EventLog.log(DaemonEvent.PLATFORM_AVAILABLE_AGAIN);
        }
        platformUnavailable = error != null;
    }
}
