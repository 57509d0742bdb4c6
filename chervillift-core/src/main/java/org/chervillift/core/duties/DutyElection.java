package org.chervillift.core.duties;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.Versioned;

/**
 * Decides who holds a duty.
 *
 * <p>The lease only keeps two processes from working side by side. What keeps them from doing harm
 * is the row's version, which is a condition of every act, and the epochs of the VMs.
 */
public final class DutyElection {

    private DutyElection() {}

    /**
     * Decides what a process does about a duty.
     *
     * @param name the duty
     * @param row the duty's row as read in this round, if there is one
     * @param self the process, with a name that no other run of a process has
     * @param first whether the process stands in the data centre that the duty is for
     */
    public static DutyDecision decide(
            String name,
            Optional<Versioned<DutyRow>> row,
            String self,
            boolean first,
            DutySettings settings,
            Instant now) {
        if (row.isEmpty()) {
            return leaseWrite(name, 0, self, 1, settings, now);
        }
        Versioned<DutyRow> held = row.get();
        Instant expiry = Instant.ofEpochMilli(held.row().expiresAtMillis());
        if (held.row().holder().equals(self)) {
            boolean fresh = now.isBefore(expiry.minus(settings.renewBefore()));
            long fence = held.row().fence();
            return fresh
                    ? new DutyDecision.Act(held)
                    : leaseWrite(name, held.version(), self, fence, settings, now);
        }
        Instant free = first ? expiry : expiry.plus(settings.standbyDelay());
        if (now.isBefore(free)) {
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
        long expiry = now.plus(settings.leaseDuration()).toEpochMilli();
        return new DutyDecision.Write(
                List.of(new Condition(DutyRow.key(name), version)),
                new DutyRow(name, self, fence, expiry));
    }
}
