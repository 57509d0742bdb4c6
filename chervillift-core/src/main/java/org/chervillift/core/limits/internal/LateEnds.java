package org.chervillift.core.limits.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.chervillift.core.limits.Permit;

/** Permits of requests that may still run, until the hard bound of their run has passed. */
public final class LateEnds {

    private final PriorityQueue<Late> queue =
            new PriorityQueue<>(Comparator.comparing(Late::at).thenComparing(Late::number));

    /** Holds a permit until a time. */
    public void add(Permit permit, Instant at) {
        queue.add(new Late(at, permit));
    }

    /** Removes and returns the permits whose time has come. */
    public List<Permit> takeDue(Instant now) {
        List<Permit> due = new ArrayList<>();
        while (!queue.isEmpty() && !queue.peek().at().isAfter(now)) {
            due.add(queue.poll().permit());
        }
        return due;
    }

    private record Late(Instant at, Permit permit) {
        long number() {
            return permit.number();
        }
    }
}
