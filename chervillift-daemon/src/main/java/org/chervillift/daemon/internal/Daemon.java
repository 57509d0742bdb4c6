package org.chervillift.daemon.internal;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.RoutingServlet;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.config.ApplyRules;
import org.chervillift.core.limits.TeamLimiter;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.daemon.internal.config.ConfigStore;
import org.chervillift.daemon.internal.keys.KeyRows;
import org.chervillift.daemon.internal.operator.ConfigRoutes;
import org.chervillift.daemon.internal.operator.KeyRoutes;
import org.chervillift.daemon.internal.operator.MemberRoutes;
import org.chervillift.daemon.internal.operator.OperatorRoutes;
import org.chervillift.daemon.internal.operator.WaveRoutes;
import org.chervillift.daemon.internal.peers.PeersPart;
import org.chervillift.daemon.internal.report.ReportRoutes;
import org.chervillift.daemon.internal.report.UsageReporter;
import org.chervillift.daemon.limits.TeamLimitPart;
import org.chervillift.daemon.waves.MaintenanceComponents;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.platform.ChangedReads;
import org.chervillift.platform.HttpMaintenanceControl;
import org.chervillift.platform.HttpPlatform;
import org.chervillift.platform.StampingPlatform;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.RestartPolicy;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.runtime.supervision.Supervisor;

/** Puts the parts of the daemon together, starts them and stops them. */
public final class Daemon {

    private static final RestartPolicy RESTARTS =
            new RestartPolicy(5, Duration.ofMinutes(1), Duration.ofMillis(200));
    private static final ApplyRules APPLY_RULES = new ApplyRules(10);
    private static final Set<String> FOLLOWED =
            Set.of(
                    ConfigRows.HEAD_KEY.table(),
                    KeyRows.RING.table(),
                    VmRow.TABLE,
                    PoolRow.TABLE,
                    WaveRow.TABLE);
    private static final Duration DRAIN_CHECK = Duration.ofMillis(20);

    private final DaemonSettings settings;
    private final Scheduler scheduler;
    private final KeyAssembly keys;
    private final FleetFollower follower;
    private final RequestHandler handler;
    private final RequestPath requestPath;
    private final UsageReporter usage;
    private final PeersPart peers;
    private final TeamLimitPart limits;
    private final MaintenanceComponents maintenance;
    private final Supervisor supervisor;
    private boolean started;
    private boolean stopping;

    /** Creates a daemon on an event loop; nothing runs yet. */
    public Daemon(Eventloop reactor, DaemonSettings settings) {
        this.settings = Checks.notNull("settings", settings);
        scheduler = new ReactorScheduler(reactor);
        PrometheusRegistry registry = new PrometheusRegistry();
        JsonClient platformClient = platformClient(reactor);
        Platform platform = new StampingPlatform(new HttpPlatform(platformClient), FOLLOWED);
        keys = KeyAssembly.create(settings, platform, scheduler);
        follower =
                new FleetFollower(
                        new ChangedReads(platform),
                        scheduler,
                        settings,
                        keys.gate(),
                        keys.freshness());
        peers =
                PeerAssembly.create(
                        reactor, scheduler, settings, follower, keys.freshness(), registry);
        limits = teamLimits(platform);
        requestPath =
                new RequestPath(reactor, scheduler, platform, settings, follower::view, limits);
        handler = requestHandler(registry);
        usage = new UsageReporter(platform, scheduler, settings, () -> follower.view().config());
        maintenance =
                MaintenanceComponents.of(
                        platform,
                        new HttpMaintenanceControl(platformClient),
                        settings.vmId(),
                        settings.dataCentre(),
                        settings.waves(),
                        scheduler,
                        follower::dataCentres);
        CallerServer callers = new CallerServer(reactor, settings, handler, usage);
        ControlServer control =
                new ControlServer(
                        reactor,
                        settings.controlAddress(),
                        this::isReady,
                        registry,
                        operatorRoutes(reactor, platform));
        supervisor = new Supervisor("daemon", parts(control, callers), RESTARTS, scheduler);
    }

    private List<Part> parts(Part control, Part callers) {
        List<Part> parts =
                new ArrayList<>(
                        List.of(
                                control,
                                follower,
                                limits,
                                usage,
                                requestPath,
                                callers,
                                maintenance.part()));
        if (settings.peers().hasPeers()) {
            parts.addFirst(peers);
            parts.addLast(keys.keeper());
        }
        return parts;
    }

    private TeamLimitPart teamLimits(Platform platform) {
        return new TeamLimitPart(
                platform, scheduler, this::limitAgent, () -> follower.view().config());
    }

    private TeamLimiter limitAgent(Instant now) {
        return new TeamLimiter(
                settings.vmId(),
                settings.dataCentre(),
                UUID.randomUUID().toString(),
                settings.limits(),
                RandomGenerator.getDefault(),
                now);
    }

    private JsonClient platformClient(Eventloop reactor) {
        return new JsonClient(
                reactor, settings.platformAddress(), settings.platformTimeout(), Optional.empty());
    }

    private RequestHandler requestHandler(PrometheusRegistry registry) {
        return new RequestHandler(
                follower::view,
                (key, open) -> keys.gate().authenticate(key, open, scheduler.now()),
                requestPath,
                scheduler::now,
                settings,
                new RequestMetrics(registry));
    }

    private AsyncServlet operatorRoutes(Eventloop reactor, Platform platform) {
        ConfigStore configs =
                new ConfigStore(platform, APPLY_RULES, () -> scheduler.now().toEpochMilli());
        List<OperatorRoutes> kinds =
                List.of(
                        new ConfigRoutes(configs, follower),
                        new KeyRoutes(keys.operations(), follower, scheduler, keys.rules()),
                        new ReportRoutes(platform, scheduler, follower, usage),
                        new MemberRoutes(peers.membership(), scheduler),
                        new WaveRoutes(maintenance.commands(), settings.waves(), scheduler));
        RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
        kinds.forEach(k -> k.addTo(routes));
        return new OperatorGate(settings.operators(), routes.build());
    }

    /** Returns whether the balancer may send callers here. */
    public boolean isReady() {
        return started && !stopping && follower.view().config().version() > 0;
    }

    /** Starts all parts. */
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        return supervisor
                .start(onFailure)
                .thenRun(
                        () -> {
                            started = true;
                            EventLog.log(
                                    DaemonEvent.READY,
                                    Field.of("vm", settings.vmId()),
                                    Field.of("callers", settings.callerAddress()));
                        });
    }

    /** Stops without cutting a request: not ready, delay, running requests end, parts stop. */
    public CompletionStage<Void> shutdown() {
        stopping = true;
        if (settings.peers().hasPeers()) {
            keys.keeper().stop();
        }
        peers.leave();
        EventLog.log(DaemonEvent.STOPPING, Field.of("running", handler.running()));
        CompletableFuture<Void> drained = new CompletableFuture<>();
        Instant bound = scheduler.now().plus(settings.drainDelay()).plus(settings.drainBound());
        scheduler.schedule(
                settings.drainDelay(),
                () -> {
                    handler.stopTaking();
                    awaitDrain(bound, drained);
                });
        return drained.thenCompose(ignored -> supervisor.stop())
                .thenCompose(ignored -> requestPath.closeConnections().toCompletableFuture())
                .thenRun(() -> EventLog.log(DaemonEvent.STOPPED));
    }

    private void awaitDrain(Instant bound, CompletableFuture<Void> drained) {
        if (handler.running() == 0) {
            drained.complete(null);
        } else if (scheduler.now().isAfter(bound)) {
            EventLog.log(DaemonEvent.STOPPED_WITH_WORK, Field.of("running", handler.running()));
            drained.complete(null);
        } else {
            scheduler.schedule(DRAIN_CHECK, () -> awaitDrain(bound, drained));
        }
    }
}
