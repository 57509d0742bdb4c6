package org.chervillift.daemon.tasks;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.Ages;
import org.chervillift.core.tasks.WaitReason;

/** Tells whether the holder may start tasks now, by its lease and by the ages of its copies. */
final class StartCondition implements StandstillPublisher.Holder {

    private final HolderContext context;
    private final LongSupplier jobsCompleteUntil;
    private final LongSupplier workersCompleteUntil;
    private final BooleanSupplier ready;
    private OptionalLong lastStoredAt = OptionalLong.empty();

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
                context.leaseAgeMillis(),
                Ages.since(lastStoredAt, now));
    }

    /**
     * Returns whether cancellations of jobs, and notices of workers that drain or shrink, are
     * known.
     */
    boolean areCopiesCurrent(HolderAges ages) {
        return Math.max(ages.jobs(), ages.workers()) <= context.settings().maxCopyAgeMillis();
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
