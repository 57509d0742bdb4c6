package org.chervillift.daemon.tasks;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.Ages;
import org.chervillift.core.tasks.WaitReason;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Tells whether the holder may start tasks now, by its lease and by the ages of its copies. */
final class StartCondition implements StandstillPublisher.Holder {

    private final HolderContext context;
    private final LongSupplier jobsCompleteUntil;
    private final LongSupplier workersCompleteUntil;
    private final BooleanSupplier ready;
    private OptionalLong lastStoredAt = OptionalLong.empty();
    private boolean startsEnabled = true;

    /**
     * Creates a condition.
     *
     * @param jobsCompleteUntil returns up to when all changes of the jobs are known
     * @param workersCompleteUntil returns up to when all changes of the worker registry are known
     * @param ready returns whether all stored jobs have been read
     */
    StartCondition(
            HolderContext context,
            LongSupplier jobsCompleteUntil,
            LongSupplier workersCompleteUntil,
            BooleanSupplier ready) {
        this.context = Checks.notNull("context", context);
        this.jobsCompleteUntil = Checks.notNull("jobsCompleteUntil", jobsCompleteUntil);
        this.workersCompleteUntil = Checks.notNull("workersCompleteUntil", workersCompleteUntil);
        this.ready = Checks.notNull("ready", ready);
    }

    /** Records that progress has been stored. */
    void recordStored() {
        lastStoredAt = OptionalLong.of(context.nowMillis());
    }

    @Override
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    @Override
    public HolderAges ages() {
        long now = context.nowMillis();
        return new HolderAges(
                now - jobsCompleteUntil.getAsLong(),
                now - workersCompleteUntil.getAsLong(),
                now - context.operatorCompleteUntil().getAsLong(),
                context.leaseAgeMillis(),
                Ages.since(lastStoredAt, now));
    }

    /** Returns whether the copies allow starts, and logs it when that has changed. */
    boolean checkCopies() {
        HolderAges ages = ages();
        boolean current = areCopiesCurrent(ages);
        if (current != startsEnabled) {
            startsEnabled = current;
            EventLog.log(
                    current ? TaskEvent.STARTS_RESUMED : TaskEvent.STARTS_SUSPENDED,
                    Field.of("term", context.term()),
                    Field.of("jobsAgeMillis", ages.jobs()),
                    Field.of("workersAgeMillis", ages.workers()),
                    Field.of("operatorAgeMillis", ages.operator()));
        }
        return current;
    }

    /**
     * Returns whether cancellations of jobs, notices of workers that drain or shrink, and
     * evacuations of data centres are known.
     */
    private boolean areCopiesCurrent(HolderAges ages) {
        FleetSettings settings = context.settings();
        return Math.max(ages.jobs(), ages.workers()) <= settings.maxCopyAgeMillis()
                && ages.operator() <= settings.maxOperatorAgeMillis();
    }

    @Override
    public Optional<WaitReason> suspension() {
        if (!context.maySendOrders().getAsBoolean()) {
            return Optional.of(WaitReason.LEASE_UNCERTAIN);
        }
        return areCopiesCurrent(ages())
                ? Optional.empty()
                : Optional.of(WaitReason.STARTS_SUSPENDED);
    }
}
