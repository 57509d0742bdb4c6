package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.HolderElection;
import org.chervillift.runtime.supervision.Scheduler;

/** One process that takes jobs, and gives the orders to the workers while it is the holder. */
public final class TaskNode {

    private static final HolderElection.LeaseTimes LEASE =
            new HolderElection.LeaseTimes(1_000, 2_500, 280);
    private static final long ORDER_MARGIN_MILLIS = 300;

    private FleetSettings settings;
    private final Scheduler scheduler;
    private final Ports ports;
    private final String process;
    private final WatchedStore store;
    private final ManifestKeeper manifests;
    private final TableFollower operator;
    private final HolderDuty duty;
    private final JobDesk desk;
    private final TaskMetrics metrics = new TaskMetrics();
    private boolean stopping;

    /**
     * How the node reaches the platform.
     *
     * @param store the store
     * @param rows the rows of the operator and the workers
     * @param workers opens the connections to a worker
     * @param vms operates on VMs
     * @param advice the service that names the workers of advised queues, if there is one
     */
    public record Ports(
            RowStore store,
            FleetRows rows,
            Function<WorkerEntry, WorkerCalls> workers,
            FleetVms vms,
            Optional<PlacementAdvice> advice) {
        public Ports {
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
     * @param process a name that no other run of a process has
     */
    public TaskNode(FleetSettings settings, Scheduler scheduler, Ports ports, String process) {
        this.settings = Checks.notNull("settings", settings);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.ports = Checks.notNull("ports", ports);
        this.process = Checks.notBlank("process", process);
        this.store = new WatchedStore(ports.store(), scheduler);
        this.manifests = new ManifestKeeper(ports.rows());
        this.operator =
                new TableFollower(
                        store,
                        ports.rows().operatorTable(),
                        List.of(RowStore.COMMON_PART),
                        TableFollower.USUAL_WAIT,
                        scheduler,
                        manifests);
        HolderElection election =
                new HolderElection(process, settings.vm(), LEASE, settings.leaseYieldMillis());
        this.duty = new HolderDuty(store, scheduler, election, this::holder);
        this.desk =
                new JobDesk(
                        store,
                        scheduler,
                        manifests,
                        operator::isHealthy,
                        new JobIntake(store, scheduler),
                        this::board,
                        metrics);
    }

    private TaskHolder holder(long term) {
        RowStore paced = new PacedStore(store, scheduler);
        HolderContext context =
                new HolderContext(
                        paced,
                        store::clock,
                        new OwnRows(paced, duty::termVersion),
                        ports.rows(),
                        ports.workers(),
                        ports.vms(),
                        ports.advice(),
                        scheduler,
                        settings,
                        process,
                        this::maySendOrders,
                        () -> scheduler.now().toEpochMilli() - duty.election().lastRenewedAt(),
                        term,
                        metrics);
        return new TaskHolder(context, manifests, manifests.manifest().orElseThrow());
    }

    private boolean maySendOrders() {
        return duty.election().isLeaseValidFor(ORDER_MARGIN_MILLIS, scheduler.now().toEpochMilli());
    }

    /** Returns the board while nobody else can be the holder. */
    private Optional<HeldBoard> board() {
        return duty.sureHolder().flatMap(TaskHolder::board);
    }

    /** Starts to follow the store; the lease is sought once a manifest is known. */
    public void start() {
        Runnable once =
                new Runnable() {
                    @Override
                    public void run() {
                        if (manifests.manifest().isPresent() && !stopping) {
                            manifests.removeOnChange(this);
                            duty.start();
                        }
                    }
                };
        manifests.onChange(once);
        operator.start();
    }

    /** Takes newer settings; they count from the next time that this process is the holder. */
    public void reconfigure(FleetSettings newest) {
        settings = newest;
    }

    /** Returns whether new connections of callers should come here. */
    public boolean isReady() {
        return !stopping
                && manifests.manifest().isPresent()
                && operator.isHealthy()
                && !store.isSilent();
    }

    /** Returns the metrics in the text format of Prometheus. */
    public byte[] metrics() {
        metrics.holds(duty.election().heldTerm().orElse(0L));
        return metrics.text();
    }

    /** Answers a caller's request about jobs. */
    public CompletionStage<JobAnswer> answer(JobRequest request) {
        return desk.answer(request);
    }

    /** Becomes not ready, and gives the lease back; requests are answered on. */
    public void drain() {
        stopping = true;
        duty.stop();
    }

    /** Stops to follow the store. */
    public void stop() {
        operator.stop();
    }
}
