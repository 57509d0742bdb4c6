package org.chervillift.core.limits.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.chervillift.core.limits.Permit;

/** Permits of requests that may still run, kept until their longest run time has passed. */
public final class DelayedReturns {

    private final PriorityQueue<DelayedReturn> byDueTime =
            new PriorityQueue<>(
                    Comparator.comparing(DelayedReturn::dueAt)
                            .thenComparing(DelayedReturn::number));

    /** Keeps a permit until the given time. */
    public void add(Permit permit, Instant dueAt) {
        byDueTime.add(new DelayedReturn(dueAt, permit));
    }

    /** Removes and returns the permits that are due. */
    public List<Permit> takeDue(Instant now) {
        List<Permit> due = new ArrayList<>();
        while (!byDueTime.isEmpty() && !byDueTime.peek().dueAt().isAfter(now)) {
            due.add(byDueTime.poll().permit());
        }
        return due;
    }

    private record DelayedReturn(Instant dueAt, Permit permit) {
        long number() {
            return permit.number();
        }
    }
}
