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
import org.chervillift.daemon.requests.CallerAnswer;
import org.chervillift.daemon.requests.ClaimCleaner;
import org.chervillift.daemon.requests.ClaimDesk;
import org.chervillift.daemon.requests.ClaimStore;
import org.chervillift.daemon.requests.HttpSender;
import org.chervillift.daemon.requests.MemoryBudget;
import org.chervillift.daemon.requests.Outgoing;
import org.chervillift.daemon.requests.RequestTools;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/** Puts the parts of the request path together, and tells them of the fleet. */
public final class RequestPath implements Part {

    private static final Duration TICK = Duration.ofMillis(500);
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MOST_RETRIES = 20;
    private static final int KIB = 1024;
    private static final long ANSWER_BYTES = 24L * KIB * KIB;

    private final Scheduler scheduler;
    private final Supplier<FleetView> fleet;
    private final HttpSender sender;
    private final RequestTools tools;
    private final ClaimCleaner cleaner;
    private Optional<Instant> readAt = Optional.empty();
    private boolean running;

    /** Creates the request path of an entry VM. */
    public RequestPath(
            NioReactor reactor,
            Scheduler scheduler,
            Platform platform,
            DaemonSettings settings,
            Supplier<FleetView> fleet,
            TeamLimitPart limits) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.fleet = Checks.notNull("fleet", fleet);
        String vm = settings.vmId();
        String dataCentre = settings.dataCentre();
        String incarnation = vm + "/" + UUID.randomUUID();
        RandomGenerator random = RandomGenerator.getDefault();
        cleaner = new ClaimCleaner(platform, scheduler, incarnation, random);
        sender =
                new HttpSender(
                        reactor,
                        scheduler,
                        vm,
                        settings.mostBodyKib() * KIB,
                        new MemoryBudget(ANSWER_BYTES));
        tools =
                new RequestTools(
                        new ClaimDesk(
                                new ClaimCommitter(ClaimSettings.DEFAULT, vm),
                                new ClaimStore(incarnation),
                                platform,
                                scheduler,
                                Runnable::run),
                        new Router(RoutingSettings.DEFAULT, vm, dataCentre),
                        new RelayChooser(RoutingSettings.DEFAULT, vm, dataCentre),
                        new RetryContext(
                                RetryPolicy.DEFAULT,
                                new RetryBudget(RETRIES_PER_REQUEST, MOST_RETRIES),
                                random),
                        new PermitAcquiringSender(sender, limits),
                        scheduler);
    }

    /** Starts the course of a request; the answer is told once. */
    public void run(RequestFacts facts, Outgoing request, Consumer<CallerAnswer> onAnswer) {
        refreshRoutes();
        tools.start(facts, request, onAnswer);
    }

    /** Closes all connections. */
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
        return cleaner.start(onFailure);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return cleaner.stop();
    }

    private void tick() {
        if (running) {
            tools.router().tick(scheduler.now());
            refreshRoutes();
            scheduler.schedule(TICK, this::tick);
        }
    }

    private void refreshRoutes() {
        FleetView view = fleet.get();
        if (view.readAt().equals(readAt) || view.readAt().isEmpty()) {
            return;
        }
        readAt = view.readAt();
        List<EntryVm> entryVms =
                view.entryVms().stream()
                        .map(v -> new EntryVm(v.id(), v.dataCentre(), v.address()))
                        .toList();
        List<Upstream> upstreams = view.vms().stream().map(v -> upstream(v, view)).toList();
        tools.router().update(upstreams, entryVms, readAt.get(), scheduler.now());
        tools.relays().update(entryVms);
        tools.claims().setLiveEntryVms(entryVms.size());
    }

    private static Upstream upstream(VmRow row, FleetView view) {
        boolean leaving = row.state() != VmState.IN_SERVICE || view.leaving().contains(row.id());
        return new Upstream(
                row.id(), row.pool(), row.dataCentre(), row.address(), row.slots(), leaving);
    }
}
