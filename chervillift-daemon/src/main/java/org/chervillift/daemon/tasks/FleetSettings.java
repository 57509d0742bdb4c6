package org.chervillift.daemon.tasks;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.core.tasks.vms.PoolSettings;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;
import org.chervillift.runtime.settings.SettingsSchema;

/**
 * The settings of the fleet daemon.
 *
 * @param vm the name of this entry VM
 * @param dataCentre the data centre of this VM
 * @param linkMbps the bandwidth of this VM's network link, in megabits per second
 * @param callers the address on which callers' requests are accepted
 * @param readiness the address on which the load balancer checks readiness
 * @param metrics the address on which metrics are served
 * @param peers the address on which requests relayed by other entry VMs are accepted, if any
 * @param store the address of the store
 * @param maxRowBytes the longest value of a row of the store, in bytes
 * @param vms the address of the platform's VM service
 * @param advice the address of the advice service, if there is one
 * @param maxWorkerLease the longest allowed lease of a worker
 * @param workerStopTimeout how long a worker may take to stop a run
 * @param vmOrderHandoverDelay how long after the order of another holder a VM may be ordered
 * @param maintenanceTime how long the maintenance of a VM takes
 * @param moveTime how long moving a VM to another pool takes
 * @param cancelWithin how long after the cancellation of a job its tasks may still start
 * @param keepFinished how long the state of a finished job can be read
 * @param remoteFactor how many times as long tasks run away from the rack of their data, or spread
 *     over racks though they are tightly coupled
 * @param shutdownGrace how long after a stop request the process is killed
 * @param evacuateWithin how long after a request to evacuate a data centre tasks may still start
 *     there; zero if the deployment has no evacuations
 * @param pools how eagerly VMs move between pools
 */
public record FleetSettings(
        String vm,
        String dataCentre,
        double linkMbps,
        HostPort callers,
        HostPort readiness,
        HostPort metrics,
        Optional<HostPort> peers,
        HostPort store,
        int maxRowBytes,
        HostPort vms,
        Optional<HostPort> advice,
        Duration maxWorkerLease,
        Duration workerStopTimeout,
        Duration vmOrderHandoverDelay,
        Duration maintenanceTime,
        Duration moveTime,
        Duration cancelWithin,
        Duration keepFinished,
        double remoteFactor,
        Duration shutdownGrace,
        Duration evacuateWithin,
        PoolSettings pools) {

    /** The largest factor by which a worker's clock may be slower than this process's. */
    static final double MAX_CLOCK_SLOWDOWN = 1.03;

    /** How much longer than intended a lease may last because of call latency. */
    static final long LEASE_SLACK_MILLIS = 100;

    /**
     * Long enough for a new holder to take over, short enough to rerun a lost worker's tasks soon.
     */
    private static final long MAX_WORKER_LEASE_MILLIS = 4_500;

    /** Keeps leases below the longest allowed one, so that clock differences are tolerated. */
    private static final double SHARE_OF_LONGEST_LEASE = 0.9;

    /** The least that a new holder reads before it can start when there are many jobs. */
    private static final double TAKEOVER_READ_MEGABITS = 8;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** At most the duration of a lease, so that a fleet with only slow links waits briefly. */
    private static final long MAX_LEASE_YIELD_MILLIS = 1_000;

    /** The time that a start order may take to reach the worker, with a margin. */
    private static final long START_ORDER_MILLIS = 1_000;

    /** The age that the copy of the jobs reaches while no job arrives, with a margin. */
    private static final long MIN_COPY_AGE_LIMIT_MILLIS = 700;

    /** Far above any real one; it only finds values of another unit. */
    private static final long MAX_REMOTE_FACTOR = 1_000;

    /** A job with the longest payload, and its progress, fit in any row of this size. */
    private static final int MIN_ROW_BYTES = 16_384;

    private static final String ON = "on";
    private static final String OFF = "off";

    /**
     * The share of the time for an evacuation in which it must be known; the rest is for orders.
     */
    private static final double KNOWN_SHARE_OF_EVACUATION = 0.5;

    /** A copy that is followed without faults is younger, even if the store is slow. */
    private static final long MIN_OPERATOR_AGE_LIMIT_MILLIS = 500;

    /** One poll may fail and be repeated before the copy is too old. */
    private static final long POLLS_PER_OPERATOR_AGE_LIMIT = 3;

    private static final SettingType TEXT = new SettingType.Text();
    private static final SettingType ADDRESS = new SettingType.Address();
    private static final SettingType SECONDS =
            new SettingType.Seconds(Duration.ZERO, Duration.ofHours(1));
    private static final SettingType MILLIS =
            new SettingType.Millis(Duration.ZERO, Duration.ofHours(1));

    /** All settings, with their types and meanings. */
    public static final SettingsSchema SCHEMA =
            new SettingsSchema(
                    List.of(
                            Setting.required("vm", "id", TEXT, "The name of this entry VM."),
                            Setting.required(
                                    "vm", "data-centre", TEXT, "The data centre of this VM."),
                            Setting.optional(
                                    "vm",
                                    "link-mbps",
                                    new SettingType.Decimal(1, 1_000_000),
                                    "1000",
                                    "The bandwidth of this VM's link, in megabits per second."),
                            Setting.required(
                                    "callers",
                                    "address",
                                    ADDRESS,
                                    "The address on which callers' requests are accepted."),
                            Setting.required(
                                    "readiness",
                                    "address",
                                    ADDRESS,
                                    "The address on which the load balancer checks readiness."),
                            Setting.required(
                                    "metrics",
                                    "address",
                                    ADDRESS,
                                    "The address on which metrics are served."),
                            Setting.optional(
                                    "peers",
                                    "address",
                                    new SettingType.AddressList(),
                                    "",
                                    "The address for requests that other entry VMs relay; empty"
                                            + " if none are relayed."),
                            Setting.required(
                                    "store", "address", ADDRESS, "The address of the store."),
                            Setting.optional(
                                    "store",
                                    "max-row-bytes",
                                    new SettingType.WholeNumber(MIN_ROW_BYTES, Integer.MAX_VALUE),
                                    "65536",
                                    "The longest value of a row of the store, in bytes."),
                            Setting.required(
                                    "vms",
                                    "address",
                                    ADDRESS,
                                    "The address of the platform's VM service."),
                            Setting.optional(
                                    "advice",
                                    "address",
                                    new SettingType.AddressList(),
                                    "",
                                    "The address of the advice service; empty if there is none."),
                            Setting.required(
                                    "workers",
                                    "max-lease-ms",
                                    MILLIS,
                                    "The longest allowed lease of a worker."),
                            Setting.required(
                                    "workers",
                                    "stop-timeout-ms",
                                    MILLIS,
                                    "How long a worker may take to stop a run."),
                            Setting.required(
                                    "vms",
                                    "take-turns-after-ms",
                                    MILLIS,
                                    "How long after another holder's order a VM may be ordered."),
                            Setting.required(
                                    "vms",
                                    "maintenance-s",
                                    SECONDS,
                                    "How long the maintenance of a VM takes."),
                            Setting.required(
                                    "vms",
                                    "move-s",
                                    SECONDS,
                                    "How long moving a VM to another pool takes."),
                            Setting.required(
                                    "jobs",
                                    "cancel-within-ms",
                                    MILLIS,
                                    "How long after a job is cancelled its tasks may still start."),
                            Setting.required(
                                    "jobs",
                                    "keep-finished-s",
                                    SECONDS,
                                    "How long the state of a finished job can be read."),
                            Setting.optional(
                                    "placement",
                                    "remote-factor",
                                    new SettingType.Decimal(1, MAX_REMOTE_FACTOR),
                                    "1",
                                    "How many times as long tasks run away from their rack."),
                            Setting.required(
                                    "shutdown",
                                    "grace-s",
                                    SECONDS,
                                    "How long after a stop request the process is killed."),
                            Setting.optional(
                                    "pools",
                                    "return-after-ms",
                                    MILLIS,
                                    Long.toString(PoolSettings.DEFAULT.returnAfterMillis()),
                                    "How long a pool has not needed a VM before it goes to"
                                            + " standby."),
                            Setting.optional(
                                    "pools",
                                    "lend-after-ms",
                                    MILLIS,
                                    Long.toString(PoolSettings.DEFAULT.lendAfterMillis()),
                                    "How long a pool has not needed a VM before a pool that is"
                                            + " short gets it."),
                            Setting.optional(
                                    "pools",
                                    "min-home-share",
                                    new SettingType.Decimal(0, 1),
                                    Double.toString(PoolSettings.DEFAULT.minHomeShare()),
                                    "The share of its first size that an idle pool keeps."),
                            Setting.optional(
                                    "pools",
                                    "forecast-surges",
                                    new SettingType.Choice(List.of(ON, OFF)),
                                    OFF,
                                    "Whether a pool gets VMs for a surge as large as its last one"
                                            + " as soon as a surge begins."),
                            Setting.optional(
                                    "evacuation",
                                    "within-ms",
                                    new SettingType.MillisOrNone(Duration.ofHours(1)),
                                    "0",
                                    "How long after a request to evacuate a data centre tasks may"
                                            + " still start there; 0 if there are none.")));

    /** Returns how long a free lease is left to processes on faster links, in milliseconds. */
    long leaseYieldMillis() {
        double millis = TAKEOVER_READ_MEGABITS * MILLIS_PER_SECOND / linkMbps;
        return Math.min(MAX_LEASE_YIELD_MILLIS, Math.round(millis));
    }

    /** Returns the maximum age of the copies of jobs and workers for starts, in milliseconds. */
    long maxCopyAgeMillis() {
        return Math.max(MIN_COPY_AGE_LIMIT_MILLIS, cancelWithin.toMillis() - START_ORDER_MILLIS);
    }

    /**
     * Returns the maximum age of the copy of the operator's rows for starts, in milliseconds.
     *
     * <p>An order to start may be carried out late, and one that was not answered is stopped by
     * another order: the rest of the time, at least 1 s, is left for both. A shorter time than 1.5
     * s for evacuations cannot be kept while the store does not answer.
     */
    long maxOperatorAgeMillis() {
        long within = evacuateWithin.toMillis();
        if (within == 0) {
            return Long.MAX_VALUE;
        }
        long known = Math.round(within * KNOWN_SHARE_OF_EVACUATION);
        return Math.max(
                MIN_OPERATOR_AGE_LIMIT_MILLIS, Math.min(known, within - START_ORDER_MILLIS));
    }

    /** Returns how long the store may wait for a change of the operator's rows. */
    Duration operatorPollWait() {
        Duration usual = TableFollower.DEFAULT_POLL_WAIT;
        long most = maxOperatorAgeMillis() / POLLS_PER_OPERATOR_AGE_LIMIT;
        return Duration.ofMillis(Math.min(usual.toMillis(), most));
    }

    /** Returns the duration of a worker's lease, in milliseconds. */
    long workerLeaseMillis() {
        return Math.min(
                MAX_WORKER_LEASE_MILLIS,
                Math.round(maxWorkerLease.toMillis() * SHARE_OF_LONGEST_LEASE));
    }

    /** Returns how long a worker's lease from an earlier holder may last, in milliseconds. */
    long predecessorLeaseMillis() {
        return Math.round(workerLeaseMillis() * MAX_CLOCK_SLOWDOWN) + LEASE_SLACK_MILLIS;
    }

    /** Reads and validates a settings file. */
    public static FleetSettings read(Path file) {
        return from(SCHEMA.read(file));
    }

    /** Creates the settings from validated values. */
    public static FleetSettings from(Settings settings) {
        return new FleetSettings(
                settings.text("vm.id"),
                settings.text("vm.data-centre"),
                settings.decimal("vm.link-mbps").doubleValue(),
                settings.address("callers.address"),
                settings.address("readiness.address"),
                settings.address("metrics.address"),
                settings.addresses("peers.address").stream().findFirst(),
                settings.address("store.address"),
                settings.number("store.max-row-bytes"),
                settings.address("vms.address"),
                settings.addresses("advice.address").stream().findFirst(),
                settings.duration("workers.max-lease-ms"),
                settings.duration("workers.stop-timeout-ms"),
                settings.duration("vms.take-turns-after-ms"),
                settings.duration("vms.maintenance-s"),
                settings.duration("vms.move-s"),
                settings.duration("jobs.cancel-within-ms"),
                settings.duration("jobs.keep-finished-s"),
                settings.decimal("placement.remote-factor").doubleValue(),
                settings.duration("shutdown.grace-s"),
                settings.duration("evacuation.within-ms"),
                poolSettings(settings));
    }

    private static PoolSettings poolSettings(Settings settings) {
        return new PoolSettings(
                settings.duration("pools.return-after-ms").toMillis(),
                settings.duration("pools.lend-after-ms").toMillis(),
                settings.decimal("pools.min-home-share").doubleValue(),
                settings.text("pools.forecast-surges").equals(ON));
    }
}
