package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.api.platform.Readiness;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.HolderElection;
import org.chervillift.core.tasks.HolderHealth;
import org.chervillift.core.tasks.relay.RelayPeer;
import org.chervillift.core.tasks.relay.RelayPeers;
import org.chervillift.daemon.tasks.relay.PeerCalls;
import org.chervillift.daemon.tasks.relay.RelayedAnswer;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Scheduler;

/** Handles job requests in one process, and controls the fleet while it holds the lease. */
public final class TaskNode {

    private static final HolderElection.LeaseTimes LEASE_TIMES =
            new HolderElection.LeaseTimes(1_000, 2_500, 280);
    private static final long ORDER_LEASE_MARGIN_MILLIS = 300;
    private static final Duration READINESS_INTERVAL = Duration.ofMillis(200);

    private FleetSettings settings;
    private final Scheduler scheduler;
    private final Supervision supervision;
    private final PlatformAccess ports;
    private final String process;
    private final MonitoredStore store;
    private final ManifestTracker manifests;
    private final TableFollower operatorFollower;
    private final HolderLeaseManager leaseManager;
    private final JobRequestHandler requestHandler;
    private final Optional<EntryVmDirectory> directory;
    private final TaskMetrics metrics = new TaskMetrics();
    private final ReadinessTracker readiness;
    private boolean stopping;

    /**
     * The clients through which the node accesses the platform.
     *
     * @param store the store
     * @param rows encodes and decodes the rows of the operator and the workers
     * @param workers creates the client of a worker
     * @param vms lists VMs and sends orders for them
     * @param advice the service that selects workers for the queues that require advice, if any
     */
    public record PlatformAccess(
            RowStore store,
            FleetRows rows,
            Function<WorkerEntry, WorkerCalls> workers,
            FleetVms vms,
            Optional<PlacementAdvice> advice) {
        public PlatformAccess {
            Checks.notNull("store", store);
            Checks.notNull("rows", rows);
            Checks.notNull("workers", workers);
            Checks.notNull("vms", vms);
            Checks.notNull("advice", advice);
        }
    }

    /**
     * Creates a node.
     *
     * @param process the name of this process, unique across restarts
     * @param peerCalls sends requests to other entry VMs, if the settings have an address for them
     */
    public TaskNode(
            FleetSettings settings,
            Scheduler scheduler,
            PlatformAccess ports,
            String process,
            PeerCalls peerCalls) {
        this.settings = Checks.notNull("settings", settings);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.supervision = new Supervision(scheduler, metrics);
        this.ports = BoundedPlatform.of(Checks.notNull("ports", ports), supervision);
        this.process = Checks.notBlank("process", process);
        this.store = new MonitoredStore(this.ports.store(), scheduler);
        this.readiness = new ReadinessTracker(scheduler.now().toEpochMilli());
        this.manifests = new ManifestTracker(ports.rows());
        this.operatorFollower =
                new TableFollower(
                        store,
                        ports.rows().operatorTable(),
                        List.of(RowStore.COMMON_PART),
                        settings.operatorPollWait(),
                        supervision,
                        store::clock,
                        manifests);
        HolderElection election =
                new HolderElection(
                        process, settings.vm(), LEASE_TIMES, settings.leaseYieldMillis());
        this.leaseManager =
                new HolderLeaseManager(store, supervision, election, this::createHolder, metrics);
        RelayPeers peers = new RelayPeers(settings.vm(), settings.dataCentre());
        this.directory = settings.peers().map(address -> directory(address, peers));
        Relay relay =
                directory.isEmpty()
                        ? Relay.NONE
                        : new RequestRelay(peers, peerCalls, supervision, metrics.relay());
        this.requestHandler =
                new JobRequestHandler(
                        store,
                        scheduler,
                        manifests,
                        operatorFollower::isHealthy,
                        new JobIntake(store, supervision, settings.maxRowBytes()),
                        this::holderBoard,
                        new KnownJobs(settings.keepFinished().toMillis()),
                        relay,
                        metrics);
    }

    private EntryVmDirectory directory(HostPort address, RelayPeers peers) {
        RelayPeer self =
                new RelayPeer(settings.vm(), address.toString(), settings.dataCentre(), process);
        return new EntryVmDirectory(ports.store(), supervision, store::clock, self, peers);
    }

    private HolderController createHolder(long term) {
        RowStore throttled = new ThrottledStore(store, scheduler);
        HolderContext context =
                new HolderContext(
                        throttled,
                        store::clock,
                        new FencedRowStore(throttled, leaseManager::termVersion),
                        ports.rows(),
                        ports.workers(),
                        ports.vms(),
                        ports.advice(),
                        supervision,
                        settings,
                        process,
                        this::maySendOrders,
                        operatorFollower::completeUntil,
                        () ->
                                scheduler.now().toEpochMilli()
                                        - leaseManager.election().lastRenewedAt(),
                        term,
                        metrics,
                        new HolderHealth(scheduler.now().toEpochMilli()));
        return new HolderController(context, manifests, manifests.manifest().orElseThrow());
    }

    private boolean maySendOrders() {
        return leaseManager
                .election()
                .isLeaseValidFor(ORDER_LEASE_MARGIN_MILLIS, scheduler.now().toEpochMilli());
    }

    /** Returns the board, if this process is certain to hold the lease and has read all jobs. */
    private Optional<HolderBoard> holderBoard() {
        return leaseManager.holderWithValidLease().flatMap(HolderController::board);
    }

    /** Starts following the store; competes for the lease once a manifest has been read. */
    public void start() {
        Runnable startOnFirstManifest =
                new Runnable() {
                    @Override
                    public void run() {
                        if (manifests.manifest().isPresent() && !stopping) {
                            manifests.removeChangeListener(this);
                            leaseManager.start();
                        }
                    }
                };
        manifests.addChangeListener(
                () -> metrics.evacuation().setDataCentres(manifests.evacuatedDataCentres().size()));
        manifests.addChangeListener(startOnFirstManifest);
        operatorFollower.start();
        directory.ifPresent(EntryVmDirectory::start);
        supervision.repeat("readiness", READINESS_INTERVAL, () -> stopping, this::logReadiness);
    }

    /**
     * Replaces the settings; they apply from the next time that this process acquires the lease.
     */
    public void reconfigure(FleetSettings newest) {
        settings = newest;
    }

    /** Returns whether the load balancer should send new connections to this process. */
    public boolean isReady() {
        return readiness().isReady();
    }

    /** Returns whether the load balancer should send new connections here, and if not, why. */
    public Readiness readiness() {
        return readiness.update(
                readinessState(), store.lastFailure(), scheduler.now().toEpochMilli());
    }

    private Readiness.State readinessState() {
        if (stopping) {
            return Readiness.State.STOPPING;
        } else if (store.isUnresponsive()) {
            return Readiness.State.STORE_UNRESPONSIVE;
        } else if (!operatorFollower.isLoaded()) {
            return Readiness.State.OPERATOR_ROWS_UNREAD;
        } else if (manifests.manifest().isEmpty()) {
            return Readiness.State.NO_CONFIGURATION;
        } else if (!operatorFollower.isHealthy()) {
            return Readiness.State.OPERATOR_ROWS_NOT_FOLLOWED;
        }
        return Readiness.State.READY;
    }

    private void logReadiness() {
        Readiness current = readiness();
        if (readiness.isLogDue(scheduler.now().toEpochMilli())) {
            EventLog.log(
                    current.isReady() ? TaskEvent.READY : TaskEvent.NOT_READY,
                    Field.of("state", current.state()),
                    Field.of("lastedMillis", current.lasted().toMillis()),
                    Field.of("storeFailure", current.storeFailure().orElse("")));
        }
    }

    /** Returns the metrics in the Prometheus text format. */
    public byte[] metrics() {
        metrics.setTerm(leaseManager.election().heldTerm().orElse(0L));
        metrics.readiness().set(readiness());
        metrics.lease().set(leaseManager.leaseView(), leaseManager.openWriteMillis());
        leaseManager.holder().ifPresent(HolderController::updateAges);
        return metrics.toPrometheusText();
    }

    /** Handles a caller's request about jobs. */
    public CompletionStage<JobAnswer> answer(JobRequest request) {
        return requestHandler.answer(request);
    }

    /** Handles a request that another entry VM has relayed; it is not relayed on. */
    public CompletionStage<RelayedAnswer> answerForPeer(JobRequest request) {
        metrics.relay().countHandled();
        return requestHandler.answerForPeer(request);
    }

    /** Reports not ready and releases the lease; requests are still answered. */
    public void drain() {
        stopping = true;
        directory.ifPresent(EntryVmDirectory::leave);
        leaseManager.stop();
    }

    /** Stops following the store. */
    public void stop() {
        operatorFollower.stop();
        directory.ifPresent(EntryVmDirectory::stop);
    }
}
