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
 * The own lease, and what is known of the leases of others.
 *
 * <p>A holder without a lease row holds nothing: its row goes only after all that it started is
 * over, or when it has given everything back. Names of holders are never used again.
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

    /** Creates the keeper of a process; {@code incarnation} is unique among all processes. */
    public LeaseTracker(
            String vm,
            String dataCentre,
            String incarnation,
            LimitSettings settings,
            Instant bornAt) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.incarnation = incarnation;
        this.settings = settings;
        this.startedAt = bornAt;
    }

    /** Returns the name of this run of the lease. */
    public String holder() {
        return vm + "/" + incarnation + "/" + runNumber;
    }

    /** Returns whether the lease is in force. */
    public boolean isValid(Instant now) {
        return now.isBefore(validUntil);
    }

    /** Returns whether the lease has to be renewed, or taken for the first time. */
    public boolean isRenewalDue(Instant now) {
        return !registered
                || !now.isBefore(
                        validUntil.minus(settings.leaseDuration()).plus(settings.renewInterval()));
    }

    /** Returns whether the leases of others have to be read again. */
    public boolean isLeaseReadDue(Instant now) {
        return leasesReadAt == Instant.MIN
                || !now.isBefore(leasesReadAt.plus(settings.renewInterval()));
    }

    /** Returns the number of holders, at least 1. */
    public int holderCount() {
        return Math.max(1, leasesByHolder.size());
    }

    /** Notes all leases. */
    public void updateLeases(List<Versioned<HolderLease>> leases, Instant now) {
        Map<String, Versioned<HolderLease>> byHolder = new HashMap<>();
        leases.forEach(l -> byHolder.put(l.value().holder(), l));
        leasesByHolder = byHolder;
        leasesReadAt = now;
    }

    /** Has the leases read again before the next move. */
    public void requireLeaseRead() {
        leasesReadAt = Instant.MIN;
    }

    /** Notes that a lease was deleted. */
    public void removeLease(String holder) {
        leasesByHolder.remove(holder);
    }

    /** Returns whether the own row went although this process did not delete it. */
    public boolean isLeaseLost(Optional<Versioned<HolderLease>> ownRow) {
        return registered && ownRow.isEmpty();
    }

    /** Starts a new run under a new name, which holds nothing yet. */
    public void startNewRun() {
        runNumber++;
        registered = false;
        requestedExpiry = Optional.empty();
        validUntil = Instant.MIN;
    }

    /** Returns the write that renews the lease, or the condition that it is still there. */
    public LeaseWrite ownLeaseWrite(
            Optional<Versioned<HolderLease>> row, boolean last, Instant now) {
        long version = row.map(Versioned::version).orElse(0L);
        requestedExpiry = Optional.empty();
        if (last && version > 0) {
            return new LeaseWrite(holder(), version, LeaseChange.DELETE, Optional.empty());
        }
        if (version > 0 && !isRenewalDue(now)) {
            return new LeaseWrite(holder(), version, LeaseChange.CHECK_ONLY, Optional.empty());
        }
        long end = now.plus(settings.leaseDuration()).toEpochMilli();
        HolderLease lease = new HolderLease(holder(), vm, dataCentre, end);
        requestedExpiry = Optional.of(lease.expiresAt());
        return new LeaseWrite(holder(), version, LeaseChange.PUT, Optional.of(lease));
    }

    /** Notes that the write took effect. */
    public void ownLeaseCommitted() {
        requestedExpiry.ifPresent(
                end -> {
                    validUntil = end;
                    registered = true;
                });
        requestedExpiry = Optional.empty();
    }

    /** Returns the deletions of leases whose holders have surely nothing running any more. */
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
        boolean replacedInPlace = lease.vm().equals(vm);
        Instant over =
                replacedInPlace
                        ? startedAt.plus(settings.maxRunTime())
                        : lease.expiresAt().plus(settings.reclaimDelay());
        return now.isAfter(over);
    }

    /** Returns the holders of a row that have no lease. */
    public Set<String> holdersWithoutLease(TeamRow row) {
        Set<String> gone = new HashSet<>(row.holdings().keySet());
        gone.removeAll(leasesByHolder.keySet());
        gone.remove(holder());
        return gone;
    }
}
