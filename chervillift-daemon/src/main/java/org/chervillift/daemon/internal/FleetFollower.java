package org.chervillift.daemon.internal;

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
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
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

    /** The row that holds the keys in force. */
    public static final RowKey KEYS = new RowKey("keys", "ring");

    private final Platform platform;
    private final Scheduler scheduler;
    private final DaemonSettings settings;
    private FleetView view = FleetView.EMPTY;
    private boolean platformLost;
    private boolean running;

    /** Creates a follower of a platform. */
    public FleetFollower(Platform platform, Scheduler scheduler, DaemonSettings settings) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.settings = Checks.notNull("settings", settings);
    }

    /** Returns what this process knows now. */
    public FleetView view() {
        return view;
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
        java.time.Instant asked = scheduler.now();
        return platform.read(List.of(ConfigHead.KEY, KEYS))
                .thenCompose(this::adoptRows)
                .thenCompose(ignored -> platform.scan(VmRow.TABLE))
                .thenCombine(platform.listVms(), this::adoptVms)
                .thenAccept(ignored -> view = view.withReadAt(asked));
    }

    private CompletionStage<Void> adoptRows(List<Row> rows) {
        for (Row r : rows) {
            if (r.key().equals(KEYS)) {
                adoptKeys(Json.decode(r.value(), KeyRing.class));
            }
        }
        Optional<ConfigHead> head =
                rows.stream()
                        .filter(r -> r.key().equals(ConfigHead.KEY))
                        .map(r -> Json.decode(r.value(), ConfigHead.class))
                        .findFirst();
        if (head.isEmpty() || head.get().version() <= view.config().version()) {
            return CompletableFuture.completedFuture(null);
        }
        return platform.getObject(head.get().object()).thenAccept(o -> adoptConfig(head.get(), o));
    }

    private void adoptKeys(KeyRing ring) {
        if (ring.version() > view.keys().version()) {
            view = view.adopt(ring);
            EventLog.log(DaemonEvent.KEYS_ADOPTED, Field.of("version", ring.version()));
        }
    }

    private void adoptConfig(ConfigHead head, Optional<String> content) {
        String text =
                content.orElseThrow(
                        () ->
                                new ChervilliftException(
                                        ErrorCode.NOT_FOUND, "The object " + head.object()));
        FleetConfig config = Json.decode(text, FleetConfig.class);
        if (config.version() > view.config().version()) {
            view = view.adopt(config);
            EventLog.log(DaemonEvent.CONFIG_ADOPTED, Field.of("version", config.version()));
        }
    }

    private Void adoptVms(List<Row> rows, List<ListedVm> listed) {
        List<VmRow> vms = rows.stream().map(r -> Json.decode(r.value(), VmRow.class)).toList();
        Set<String> leaving =
                listed.stream()
                        .filter(ListedVm::leaving)
                        .map(ListedVm::id)
                        .collect(Collectors.toUnmodifiableSet());
        view = view.withVms(vms, leaving);
        return null;
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
