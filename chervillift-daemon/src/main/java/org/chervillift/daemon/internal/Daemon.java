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
import org.chervillift.daemon.internal.peers.PeerService;
import org.chervillift.daemon.internal.report.ReportRoutes;
import org.chervillift.daemon.internal.report.UsageReporter;
import org.chervillift.daemon.limits.TeamLimitPart;
import org.chervillift.daemon.waves.MaintenanceComponents;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.platform.CachingPlatform;
import org.chervillift.platform.HttpMaintenanceControl;
import org.chervillift.platform.HttpPlatform;
import org.chervillift.platform.StampingPlatform;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.RestartPolicy;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.runtime.supervision.Supervisor;

/** Creates the parts of the daemon, starts them and shuts them down. */
public final class Daemon {

    private static final RestartPolicy RESTART_POLICY =
            new RestartPolicy(5, Duration.ofMinutes(1), Duration.ofMillis(200));
    private static final ApplyRules APPLY_RULES = new ApplyRules(10);
    private static final Set<String> STAMPED_TABLES =
            Set.of(
                    ConfigRows.HEAD_KEY.table(),
                    KeyRows.RING_ROW.table(),
                    VmRow.TABLE,
                    PoolRow.TABLE,
                    WaveRow.TABLE);
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

    private final DaemonSettings settings;
    private final Scheduler scheduler;
    private final KeyComponents keys;
    private final FleetFollower follower;
    private final RequestHandler requestHandler;
    private final RequestPipeline requestPipeline;
    private final UsageReporter usageReporter;
    private final PeerService peerService;
    private final TeamLimitPart limits;
    private final MaintenanceComponents maintenance;
    private final Supervisor supervisor;
    private boolean started;
    private boolean stopping;

    /** Creates a daemon that runs on an event loop, without starting it. */
    public Daemon(Eventloop reactor, DaemonSettings settings) {
        this.settings = Checks.notNull("settings", settings);
        scheduler = new ReactorScheduler(reactor);
        PrometheusRegistry registry = new PrometheusRegistry();
        JsonClient platformClient = createPlatformClient(reactor);
        Platform platform = new StampingPlatform(new HttpPlatform(platformClient), STAMPED_TABLES);
        keys = KeyComponents.create(settings, platform, scheduler);
        follower =
                new FleetFollower(
                        new CachingPlatform(platform),
                        scheduler,
                        settings,
                        keys.authenticator(),
                        keys.freshness());
        peerService =
                PeerServiceFactory.create(
                        reactor, scheduler, settings, follower, keys.freshness(), registry);
        limits = createTeamLimits(platform);
        requestPipeline =
                new RequestPipeline(
                        reactor, scheduler, platform, settings, follower::snapshot, limits);
        requestHandler = createRequestHandler(registry);
        usageReporter =
                new UsageReporter(
                        platform, scheduler, settings, () -> follower.snapshot().config());
        maintenance =
                MaintenanceComponents.of(
                        platform,
                        new HttpMaintenanceControl(platformClient),
                        settings.vmId(),
                        settings.dataCentre(),
                        settings.waves(),
                        scheduler,
                        follower::dataCentres);
        CallerServer callers = new CallerServer(reactor, settings, requestHandler, usageReporter);
        ControlServer control =
                new ControlServer(
                        reactor,
                        settings.controlAddress(),
                        this::isReady,
                        registry,
                        createOperatorRoutes(reactor, platform));
        supervisor =
                new Supervisor("daemon", createParts(control, callers), RESTART_POLICY, scheduler);
    }

    private List<Part> createParts(Part control, Part callers) {
        List<Part> parts =
                new ArrayList<>(
                        List.of(
                                control,
                                follower,
                                limits,
                                usageReporter,
                                requestPipeline,
                                callers,
                                maintenance.part()));
        if (settings.peers().hasPeers()) {
            parts.addFirst(peerService);
            parts.addLast(keys.membershipKeeper());
        }
        return parts;
    }

    private TeamLimitPart createTeamLimits(Platform platform) {
        return new TeamLimitPart(
                platform, scheduler, this::createTeamLimiter, () -> follower.snapshot().config());
    }

    private TeamLimiter createTeamLimiter(Instant now) {
        return new TeamLimiter(
                settings.vmId(),
                settings.dataCentre(),
                UUID.randomUUID().toString(),
                settings.limits(),
                RandomGenerator.getDefault(),
                now);
    }

    private JsonClient createPlatformClient(Eventloop reactor) {
        return new JsonClient(
                reactor, settings.platformAddress(), settings.platformTimeout(), Optional.empty());
    }

    private RequestHandler createRequestHandler(PrometheusRegistry registry) {
        return new RequestHandler(
                follower::snapshot,
                (key, openQueue) ->
                        keys.authenticator().authenticate(key, openQueue, scheduler.now()),
                requestPipeline,
                scheduler::now,
                settings,
                new RequestMetrics(registry));
    }

    private AsyncServlet createOperatorRoutes(Eventloop reactor, Platform platform) {
        ConfigStore configStore =
                new ConfigStore(platform, APPLY_RULES, () -> scheduler.now().toEpochMilli());
        List<OperatorRoutes> routeGroups =
                List.of(
                        new ConfigRoutes(configStore, follower),
                        new KeyRoutes(keys.operations(), follower, scheduler, keys.rules()),
                        new ReportRoutes(platform, scheduler, follower, usageReporter),
                        new MemberRoutes(peerService.membership(), scheduler),
                        new WaveRoutes(maintenance.commands(), settings.waves(), scheduler));
        RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
        routeGroups.forEach(g -> g.addTo(routes));
        return new OperatorAuthServlet(settings.operators(), routes.build());
    }

    /** Returns whether the load balancer may send requests to this process. */
    public boolean isReady() {
        return started && !stopping && follower.snapshot().config().version() > 0;
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

    /**
     * Shuts down gracefully.
     *
     * <p>The daemon reports not ready, still accepts requests for the drain delay, waits for the
     * running requests up to the drain timeout, and then stops its parts.
     */
    public CompletionStage<Void> shutdown() {
        stopping = true;
        if (settings.peers().hasPeers()) {
            keys.membershipKeeper().stop();
        }
        peerService.announceLeave();
        EventLog.log(DaemonEvent.STOPPING, Field.of("running", requestHandler.runningRequests()));
        CompletableFuture<Void> drained = new CompletableFuture<>();
        Instant drainDeadline =
                scheduler.now().plus(settings.drainDelay()).plus(settings.drainTimeout());
        scheduler.schedule(
                settings.drainDelay(),
                () -> {
                    requestHandler.stopAccepting();
                    awaitDrain(drainDeadline, drained);
                });
        return drained.thenCompose(ignored -> supervisor.stop())
                .thenCompose(ignored -> requestPipeline.closeConnections().toCompletableFuture())
                .thenRun(() -> EventLog.log(DaemonEvent.STOPPED));
    }

    private void awaitDrain(Instant drainDeadline, CompletableFuture<Void> drained) {
        if (requestHandler.runningRequests() == 0) {
            drained.complete(null);
        } else if (scheduler.now().isAfter(drainDeadline)) {
            EventLog.log(
                    DaemonEvent.STOPPED_WITH_RUNNING_REQUESTS,
                    Field.of("running", requestHandler.runningRequests()));
            drained.complete(null);
        } else {
            scheduler.schedule(DRAIN_CHECK_INTERVAL, () -> awaitDrain(drainDeadline, drained));
        }
    }
}
