package org.chervillift.core.limits.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.core.limits.HolderLease;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.LimitTransaction.LeaseChange;
import org.chervillift.core.limits.LimitTransaction.LeaseWrite;
import org.chervillift.core.limits.TeamRow;
import org.chervillift.core.limits.Versioned;

/**
 * Tracks the lease of this process and the last known leases of other holders.
 *
 * <p>A holder without a lease row holds no permits: its lease row is deleted only after all
 * requests that it started must have ended, or after it has returned all permits. Holder names are
 * never reused.
 */
public final class LeaseTracker {

    private final String vm;
    private final String dataCentre;
    private final String incarnation;
    private final Instant startedAt;
    private final LimitSettings settings;
    private int runNumber;
    private Instant validUntil = Instant.MIN;
    private Optional<Instant> requestedExpiry = Optional.empty();
    private boolean registered;
    private Instant leasesReadAt = Instant.MIN;
    private Map<String, Versioned<HolderLease>> leasesByHolder = new HashMap<>();

    /** Creates the tracker of a process; {@code incarnation} is unique among all processes. */
    public LeaseTracker(
            String vm,
            String dataCentre,
            String incarnation,
            LimitSettings settings,
            Instant startedAt) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.incarnation = incarnation;
        this.settings = settings;
        this.startedAt = startedAt;
    }

    /** Returns the current holder name; it changes when the lease is lost. */
    public String holder() {
        return vm + "/" + incarnation + "/" + runNumber;
    }

    /** Returns whether the lease has not expired. */
    public boolean isValid(Instant now) {
        return now.isBefore(validUntil);
    }

    /** Returns whether the lease has to be renewed or acquired. */
    public boolean isRenewalDue(Instant now) {
        return !registered
                || !now.isBefore(
                        validUntil.minus(settings.leaseDuration()).plus(settings.renewInterval()));
    }

    /** Returns whether the leases of all holders have to be read again. */
    public boolean isLeaseReadDue(Instant now) {
        return leasesReadAt == Instant.MIN
                || !now.isBefore(leasesReadAt.plus(settings.renewInterval()));
    }

    /** Returns the number of known leases, at least 1. */
    public int holderCount() {
        return Math.max(1, leasesByHolder.size());
    }

    /** Replaces the known leases by those just read. */
    public void updateLeases(List<Versioned<HolderLease>> leases, Instant now) {
        Map<String, Versioned<HolderLease>> byHolder = new HashMap<>();
        leases.forEach(l -> byHolder.put(l.value().holder(), l));
        leasesByHolder = byHolder;
        leasesReadAt = now;
    }

    /** Makes a read of all leases due before the next transaction. */
    public void requireLeaseRead() {
        leasesReadAt = Instant.MIN;
    }

    /** Removes a deleted lease from the known leases. */
    public void removeLease(String holder) {
        leasesByHolder.remove(holder);
    }

    /** Returns whether another process deleted the lease row of this process. */
    public boolean isLeaseLost(Optional<Versioned<HolderLease>> ownRow) {
        return registered && ownRow.isEmpty();
    }

    /** Switches to a new holder name, which holds no lease and no permits yet. */
    public void startNewRun() {
        runNumber++;
        registered = false;
        requestedExpiry = Optional.empty();
        validUntil = Instant.MIN;
    }

    /**
     * Returns the write that renews the lease, deletes it at the end of a shutdown, or only checks
     * that it still exists.
     */
    public LeaseWrite ownLeaseWrite(
            Optional<Versioned<HolderLease>> row, boolean isFinalWrite, Instant now) {
        long version = row.map(Versioned::version).orElse(0L);
        requestedExpiry = Optional.empty();
        if (isFinalWrite && version > 0) {
            return new LeaseWrite(holder(), version, LeaseChange.DELETE, Optional.empty());
        }
        if (version > 0 && !isRenewalDue(now)) {
            return new LeaseWrite(holder(), version, LeaseChange.CHECK_ONLY, Optional.empty());
        }
        long expiryMillis = now.plus(settings.leaseDuration()).toEpochMilli();
        HolderLease lease = new HolderLease(holder(), vm, dataCentre, expiryMillis);
        requestedExpiry = Optional.of(lease.expiresAt());
        return new LeaseWrite(holder(), version, LeaseChange.PUT, Optional.of(lease));
    }

    /** Records that the write of {@link #ownLeaseWrite} took effect. */
    public void ownLeaseCommitted() {
        requestedExpiry.ifPresent(
                expiry -> {
                    validUntil = expiry;
                    registered = true;
                });
        requestedExpiry = Optional.empty();
    }

    /** Returns deletions of the leases whose holders can have no running requests any more. */
    public List<LeaseWrite> reclaimableLeases(Instant now) {
        List<LeaseWrite> writes = new ArrayList<>();
        for (Versioned<HolderLease> l : leasesByHolder.values()) {
            if (isReclaimable(l.value(), now)) {
                writes.add(
                        new LeaseWrite(
                                l.value().holder(),
                                l.version(),
                                LeaseChange.DELETE,
                                Optional.empty()));
            }
        }
        return writes;
    }

    private boolean isReclaimable(HolderLease lease, Instant now) {
        if (lease.holder().equals(holder())) {
            return false;
        }
        boolean isEarlierProcessOfThisVm = lease.vm().equals(vm);
        Instant reclaimableAt =
                isEarlierProcessOfThisVm
                        ? startedAt.plus(settings.maxRunTime())
                        : lease.expiresAt().plus(settings.reclaimDelay());
        return now.isAfter(reclaimableAt);
    }

    /** Returns the holders in a team row that have no lease. */
    public Set<String> holdersWithoutLease(TeamRow row) {
        Set<String> holders = new HashSet<>(row.holdings().keySet());
        holders.removeAll(leasesByHolder.keySet());
        holders.remove(holder());
        return holders;
    }
}
