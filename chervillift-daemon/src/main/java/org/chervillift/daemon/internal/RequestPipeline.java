package org.chervillift.daemon.internal;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.claims.ClaimCommitter;
import org.chervillift.core.claims.ClaimSettings;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.requests.RetryContext;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.RelayChooser;
import org.chervillift.core.routing.Router;
import org.chervillift.core.routing.RoutingSettings;
import org.chervillift.core.routing.Upstream;
import org.chervillift.daemon.limits.PermitAcquiringSender;
import org.chervillift.daemon.limits.TeamLimitPart;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.ClaimCleaner;
import org.chervillift.daemon.requests.ClaimClient;
import org.chervillift.daemon.requests.ClaimRowMapper;
import org.chervillift.daemon.requests.HttpSender;
import org.chervillift.daemon.requests.MemoryBudget;
import org.chervillift.daemon.requests.OutgoingRequest;
import org.chervillift.daemon.requests.RequestServices;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/** Creates the services that process requests, and keeps their routes up to date. */
public final class RequestPipeline implements Part {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_RETRY_TOKENS = 20;
    private static final int KIB = 1024;
    private static final long RESPONSE_BODY_BUDGET_BYTES = 24L * KIB * KIB;

    private final Scheduler scheduler;
    private final Supplier<FleetSnapshot> fleetSnapshot;
    private final HttpSender sender;
    private final RequestServices services;
    private final ClaimCleaner claimCleaner;
    private Optional<Instant> routesReadAt = Optional.empty();
    private boolean running;

    /** Creates the request pipeline of an entry VM. */
    public RequestPipeline(
            NioReactor reactor,
            Scheduler scheduler,
            Platform platform,
            DaemonSettings settings,
            Supplier<FleetSnapshot> fleetSnapshot,
            TeamLimitPart limits) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.fleetSnapshot = Checks.notNull("fleetSnapshot", fleetSnapshot);
        String vmId = settings.vmId();
        String dataCentre = settings.dataCentre();
        String incarnation = vmId + "/" + UUID.randomUUID();
        RandomGenerator random = RandomGenerator.getDefault();
        claimCleaner = new ClaimCleaner(platform, scheduler, incarnation, random);
        sender =
                new HttpSender(
                        reactor,
                        scheduler,
                        vmId,
                        settings.maxBodyKib() * KIB,
                        new MemoryBudget(RESPONSE_BODY_BUDGET_BYTES));
        services =
                new RequestServices(
                        new ClaimClient(
                                new ClaimCommitter(ClaimSettings.DEFAULT, vmId),
                                new ClaimRowMapper(incarnation),
                                platform,
                                scheduler,
                                Runnable::run),
                        new Router(RoutingSettings.DEFAULT, vmId, dataCentre),
                        new RelayChooser(RoutingSettings.DEFAULT, vmId, dataCentre),
                        new RetryContext(
                                RetryPolicy.DEFAULT,
                                new RetryBudget(RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS),
                                random),
                        new PermitAcquiringSender(sender, limits),
                        scheduler);
    }

    /** Starts processing a request; the callback is called once, with the answer. */
    public void execute(
            RequestFacts facts, OutgoingRequest request, Consumer<CallerResponse> onAnswer) {
        refreshRoutes();
        services.start(facts, request, onAnswer);
    }

    /** Closes all connections to upstreams and other entry VMs. */
    public Promise<?> closeConnections() {
        return sender.stop();
    }

    @Override
    public String name() {
        return "request-path";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        tick();
        return claimCleaner.start(onFailure);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return claimCleaner.stop();
    }

    private void tick() {
        if (running) {
            services.router().tick(scheduler.now());
            refreshRoutes();
            scheduler.schedule(TICK_INTERVAL, this::tick);
        }
    }

    private void refreshRoutes() {
        FleetSnapshot snapshot = fleetSnapshot.get();
        if (snapshot.lastReadAt().equals(routesReadAt) || snapshot.lastReadAt().isEmpty()) {
            return;
        }
        routesReadAt = snapshot.lastReadAt();
        List<EntryVm> entryVms =
                snapshot.entryVms().stream()
                        .map(v -> new EntryVm(v.id(), v.dataCentre(), v.address()))
                        .toList();
        List<Upstream> upstreams =
                snapshot.vms().stream().map(v -> toUpstream(v, snapshot)).toList();
        services.router().update(upstreams, entryVms, routesReadAt.get(), scheduler.now());
        services.relays().update(entryVms);
        services.claims().setLiveEntryVms(entryVms.size());
    }

    private static Upstream toUpstream(VmRow row, FleetSnapshot snapshot) {
        boolean leaving =
                row.state() != VmState.IN_SERVICE || snapshot.leavingVmIds().contains(row.id());
        return new Upstream(
                row.id(), row.pool(), row.dataCentre(), row.address(), row.slots(), leaving);
    }
}
