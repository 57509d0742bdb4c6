package org.chervillift.daemon.tasks;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;
import org.chervillift.runtime.settings.SettingsSchema;

/**
 * The settings of a process that serves jobs.
 *
 * @param vm the name of this entry VM
 * @param dataCentre the data centre that it stands in
 * @param linkMbps what the link of this VM carries, in megabits a second
 * @param callers where callers' requests are taken
 * @param readiness where the balancer asks whether this process is ready
 * @param metrics where metrics are read
 * @param store where the store answers
 * @param vms where the platform's list of VMs answers
 * @param advice where the advice service answers, if there is one
 * @param maxLease the longest lease of a worker
 * @param stopTimeout how long a worker may take to stop a run
 * @param takeTurnsAfter how long after another holder orders to VMs may be given
 * @param maintenance how long the maintenance of a VM takes
 * @param move how long a VM takes to another pool
 * @param cancelWithin how long after its withdrawal no task of a job is started any more
 * @param keepFinished how long the state of a finished job can be asked for
 * @param grace how long after a request to stop the process is killed
 */
public record FleetSettings(
        String vm,
        String dataCentre,
        double linkMbps,
        HostPort callers,
        HostPort readiness,
        HostPort metrics,
        HostPort store,
        HostPort vms,
        Optional<HostPort> advice,
        Duration maxLease,
        Duration stopTimeout,
        Duration takeTurnsAfter,
        Duration maintenance,
        Duration move,
        Duration cancelWithin,
        Duration keepFinished,
        Duration grace) {

    /** A worker's clock may be this much slower than ours. */
    static final double SLOWEST_CLOCK = 1.03;

    /** What a lease may be longer than meant, through the time that calls take, in milliseconds. */
    static final long LEASE_SLACK_MILLIS = 100;

    /** Long enough for a new holder to begin, short enough to free the tasks of a lost worker. */
    private static final long USUAL_LEASE_MILLIS = 4_500;

    /** Leases stay below the longest one, so that clocks need not agree. */
    private static final double LEASE_SHARE = 0.9;

    /** What a new holder reads at least before it can begin when there are many jobs. */
    private static final double READ_MEGABITS = 8;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** No longer than a lease, so that a fleet of slow links waits little. */
    private static final long LONGEST_YIELD_MILLIS = 1_000;

    /** What an order to start may take on its way to the worker, with some reserve. */
    private static final long START_MILLIS = 1_000;

    /** While no job comes the copy gets this old, with some reserve. */
    private static final long LEAST_COPY_AGE_MILLIS = 700;

    private static final SettingType TEXT = new SettingType.Text();
    private static final SettingType ADDRESS = new SettingType.Address();
    private static final SettingType SECONDS =
            new SettingType.Seconds(Duration.ZERO, Duration.ofHours(1));
    private static final SettingType MILLIS =
            new SettingType.Millis(Duration.ZERO, Duration.ofHours(1));

    /** All settings, with what is allowed. */
    public static final SettingsSchema SCHEMA =
            new SettingsSchema(
                    List.of(
                            Setting.required("vm", "id", TEXT, "The name of this entry VM."),
                            Setting.required(
                                    "vm",
                                    "data-centre",
                                    TEXT,
                                    "The data centre that this VM stands in."),
                            Setting.optional(
                                    "vm",
                                    "link-mbps",
                                    new SettingType.Decimal(1, 1_000_000),
                                    "1000",
                                    "What the link of this VM carries, in megabits a second."),
                            Setting.required(
                                    "callers",
                                    "address",
                                    ADDRESS,
                                    "Where callers' requests are taken."),
                            Setting.required(
                                    "readiness",
                                    "address",
                                    ADDRESS,
                                    "Where the balancer asks whether this process is ready."),
                            Setting.required(
                                    "metrics", "address", ADDRESS, "Where metrics are read."),
                            Setting.required(
                                    "store", "address", ADDRESS, "Where the store answers."),
                            Setting.required(
                                    "vms",
                                    "address",
                                    ADDRESS,
                                    "Where the platform's list of VMs answers."),
                            Setting.optional(
                                    "advice",
                                    "address",
                                    new SettingType.AddressList(),
                                    "",
                                    "Where the advice service answers; empty if there is none."),
                            Setting.required(
                                    "workers",
                                    "max-lease-ms",
                                    MILLIS,
                                    "The longest lease of a worker."),
                            Setting.required(
                                    "workers",
                                    "stop-timeout-ms",
                                    MILLIS,
                                    "How long a worker may take to stop a run."),
                            Setting.required(
                                    "vms",
                                    "take-turns-after-ms",
                                    MILLIS,
                                    "How long after another holder VMs may be ordered."),
                            Setting.required(
                                    "vms",
                                    "maintenance-s",
                                    SECONDS,
                                    "How long the maintenance of a VM takes."),
                            Setting.required(
                                    "vms",
                                    "move-s",
                                    SECONDS,
                                    "How long a VM takes to another pool."),
                            Setting.required(
                                    "jobs",
                                    "cancel-within-ms",
                                    MILLIS,
                                    "How long after its withdrawal no task of a job is started."),
                            Setting.required(
                                    "jobs",
                                    "keep-finished-s",
                                    SECONDS,
                                    "How long the state of a finished job can be asked for."),
                            Setting.required(
                                    "shutdown",
                                    "grace-s",
                                    SECONDS,
                                    "How long after a request to stop the process is killed.")));

    /** Returns how long a lease is left to processes that can read the jobs sooner, in millis. */
    long leaseYieldMillis() {
        double millis = READ_MEGABITS * MILLIS_PER_SECOND / linkMbps;
        return Math.min(LONGEST_YIELD_MILLIS, Math.round(millis));
    }

    /** Returns how old the copy of the jobs may be by which tasks are started, in milliseconds. */
    long mostCopyAgeMillis() {
        return Math.max(LEAST_COPY_AGE_MILLIS, cancelWithin.toMillis() - START_MILLIS);
    }

    /** Returns how long the lease of a worker lasts, in milliseconds. */
    long workerLeaseMillis() {
        return Math.min(USUAL_LEASE_MILLIS, Math.round(maxLease.toMillis() * LEASE_SHARE));
    }

    /** Returns how long a lease may last that an earlier holder gave, in milliseconds. */
    long predecessorLeaseMillis() {
        return Math.round(workerLeaseMillis() * SLOWEST_CLOCK) + LEASE_SLACK_MILLIS;
    }

    /** Reads and checks a file. */
    public static FleetSettings read(Path file) {
        return from(SCHEMA.read(file));
    }

    /** Takes checked settings. */
    public static FleetSettings from(Settings s) {
        return new FleetSettings(
                s.text("vm.id"),
                s.text("vm.data-centre"),
                s.decimal("vm.link-mbps").doubleValue(),
                s.address("callers.address"),
                s.address("readiness.address"),
                s.address("metrics.address"),
                s.address("store.address"),
                s.address("vms.address"),
                s.addresses("advice.address").stream().findFirst(),
                s.duration("workers.max-lease-ms"),
                s.duration("workers.stop-timeout-ms"),
                s.duration("vms.take-turns-after-ms"),
                s.duration("vms.maintenance-s"),
                s.duration("vms.move-s"),
                s.duration("jobs.cancel-within-ms"),
                s.duration("jobs.keep-finished-s"),
                s.duration("shutdown.grace-s"));
    }
}
