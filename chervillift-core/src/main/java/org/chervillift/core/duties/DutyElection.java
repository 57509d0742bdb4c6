package org.chervillift.core.duties;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.Versioned;

/**
 * Decides whether a process acquires, renews or acts under the lease of a duty.
 *
 * <p>The lease alone cannot exclude that two processes act at the same time. Safety comes from the
 * version of the duty's row, which is a condition of every write, and from the epochs of the VMs.
 */
public final class DutyElection {

    private DutyElection() {}

    /**
     * Decides what a process does about a duty in this round.
     *
     * @param name the name of the duty
     * @param row the duty's row as read in this round, if there is one
     * @param self the name of the process, unique among all starts of all processes
     * @param preferred whether the process is in the data centre that the duty is for
     */
    public static DutyDecision decide(
            String name,
            Optional<Versioned<DutyRow>> row,
            String self,
            boolean preferred,
            DutySettings settings,
            Instant now) {
        if (row.isEmpty()) {
            return leaseWrite(name, 0, self, 1, settings, now);
        }
        Versioned<DutyRow> held = row.get();
        Instant expiry = Instant.ofEpochMilli(held.row().expiresAtMillis());
        if (held.row().holder().equals(self)) {
            boolean isFresh = now.isBefore(expiry.minus(settings.renewBefore()));
            long fence = held.row().fence();
            return isFresh
                    ? new DutyDecision.Act(held)
                    : leaseWrite(name, held.version(), self, fence, settings, now);
        }
        Instant availableAt = preferred ? expiry : expiry.plus(settings.standbyDelay());
        if (now.isBefore(availableAt)) {
            return new DutyDecision.StandBy();
        }
        return leaseWrite(name, held.version(), self, held.row().fence() + 1, settings, now);
    }

    private static DutyDecision leaseWrite(
            String name,
            long version,
            String self,
            long fence,
            DutySettings settings,
            Instant now) {
        long expiryMillis = now.plus(settings.leaseDuration()).toEpochMilli();
        return new DutyDecision.Write(
                List.of(new Condition(DutyRow.key(name), version)),
                new DutyRow(name, self, fence, expiryMillis));
    }
}
