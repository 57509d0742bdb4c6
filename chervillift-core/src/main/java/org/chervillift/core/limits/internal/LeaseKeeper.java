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
import org.chervillift.core.limits.LimitCommit.Change;
import org.chervillift.core.limits.LimitCommit.LeaseWrite;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.TeamRow;
import org.chervillift.core.limits.Versioned;

/**
 * The own lease, and what is known of the leases of others.
 *
 * <p>A holder without a lease row holds nothing: its row goes only after all that it started is
 * over, or when it has given everything back. Names of holders are never used again.
 */
public final class LeaseKeeper {

    private final String vm;
    private final String dataCentre;
    private final String incarnation;
    private final Instant bornAt;
    private final LimitSettings settings;
    private int run;
    private Instant until = Instant.MIN;
    private Optional<Instant> asked = Optional.empty();
    private boolean registered;
    private Instant listedAt = Instant.MIN;
    private Map<String, Versioned<HolderLease>> listed = new HashMap<>();

    /** Creates the keeper of a process; {@code incarnation} is unique among all processes. */
    public LeaseKeeper(
            String vm,
            String dataCentre,
            String incarnation,
            LimitSettings settings,
            Instant bornAt) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.incarnation = incarnation;
        this.settings = settings;
        this.bornAt = bornAt;
    }

    /** Returns the name of this run of the lease. */
    public String holder() {
        return vm + "/" + incarnation + "/" + run;
    }

    /** Returns whether the lease is in force. */
    public boolean isValid(Instant now) {
        return now.isBefore(until);
    }

    /** Returns whether the lease has to be renewed, or taken for the first time. */
    public boolean isRenewalDue(Instant now) {
        return !registered
                || !now.isBefore(until.minus(settings.leaseTerm()).plus(settings.renewEvery()));
    }

    /** Returns whether the leases of others have to be read again. */
    public boolean isListDue(Instant now) {
        return listedAt == Instant.MIN || !now.isBefore(listedAt.plus(settings.renewEvery()));
    }

    /** Returns the number of holders, at least 1. */
    public int holders() {
        return Math.max(1, listed.size());
    }

    /** Notes all leases. */
    public void list(List<Versioned<HolderLease>> leases, Instant now) {
        Map<String, Versioned<HolderLease>> byHolder = new HashMap<>();
        leases.forEach(l -> byHolder.put(l.value().holder(), l));
        listed = byHolder;
        listedAt = now;
    }

    /** Has the leases read again before the next move. */
    public void listAgain() {
        listedAt = Instant.MIN;
    }

    /** Notes that a lease was deleted. */
    public void forget(String holder) {
        listed.remove(holder);
    }

    /** Returns whether the own row went although this process did not delete it. */
    public boolean isFencedBy(Optional<Versioned<HolderLease>> ownRow) {
        return registered && ownRow.isEmpty();
    }

    /** Starts a new run under a new name, which holds nothing yet. */
    public void fenced() {
        run++;
        registered = false;
        asked = Optional.empty();
        until = Instant.MIN;
    }

    /** Returns the write that renews the lease, or the condition that it is still there. */
    public LeaseWrite own(Optional<Versioned<HolderLease>> row, boolean last, Instant now) {
        long version = row.map(Versioned::version).orElse(0L);
        asked = Optional.empty();
        if (last && version > 0) {
            return new LeaseWrite(holder(), version, Change.DELETE, Optional.empty());
        }
        if (version > 0 && !isRenewalDue(now)) {
            return new LeaseWrite(holder(), version, Change.NONE, Optional.empty());
        }
        long end = now.plus(settings.leaseTerm()).toEpochMilli();
        HolderLease lease = new HolderLease(holder(), vm, dataCentre, end);
        asked = Optional.of(lease.until());
        return new LeaseWrite(holder(), version, Change.PUT, Optional.of(lease));
    }

    /** Notes that the write took effect. */
    public void committed() {
        asked.ifPresent(
                end -> {
                    until = end;
                    registered = true;
                });
        asked = Optional.empty();
    }

    /** Returns the deletions of leases whose holders have surely nothing running any more. */
    public List<LeaseWrite> reclaims(Instant now) {
        List<LeaseWrite> writes = new ArrayList<>();
        for (Versioned<HolderLease> l : listed.values()) {
            if (isOver(l.value(), now)) {
                writes.add(
                        new LeaseWrite(
                                l.value().holder(), l.version(), Change.DELETE, Optional.empty()));
            }
        }
        return writes;
    }

    private boolean isOver(HolderLease lease, Instant now) {
        if (lease.holder().equals(holder())) {
            return false;
        }
        boolean replacedInPlace = lease.vm().equals(vm);
        Instant over =
                replacedInPlace
                        ? bornAt.plus(settings.longestRun())
                        : lease.until().plus(settings.reclaimAfter());
        return now.isAfter(over);
    }

    /** Returns the holders of a row that have no lease. */
    public Set<String> withoutLease(TeamRow row) {
        Set<String> gone = new HashSet<>(row.holdings().keySet());
        gone.removeAll(listed.keySet());
        gone.remove(holder());
        return gone;
    }
}
