package org.chervillift.core.limits.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.chervillift.core.limits.Permit;

/** Permits of requests that may still run, until the hard bound of their run has passed. */
public final class DelayedReturns {

    private final PriorityQueue<DelayedReturn> byDueTime =
            new PriorityQueue<>(
                    Comparator.comparing(DelayedReturn::dueAt)
                            .thenComparing(DelayedReturn::number));

    /** Holds a permit until a time. */
    public void add(Permit permit, Instant at) {
        byDueTime.add(new DelayedReturn(at, permit));
    }

    /** Removes and returns the permits whose time has come. */
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
