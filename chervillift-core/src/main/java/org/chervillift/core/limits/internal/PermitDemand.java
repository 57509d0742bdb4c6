package org.chervillift.core.limits.internal;

import java.time.Duration;
import java.time.Instant;

/** How many permits a team had use for lately at one entry VM, over two windows of time. */
final class PermitDemand {

    private final Duration window;
    private Instant windowEnd = Instant.MIN;
    private int peakRunning;
    private int unmetRequests;
    private int previousNeed;

    PermitDemand(Duration window) {
        this.window = window;
    }

    /** Notes that so many requests run. */
    void recordRunning(int running, Instant now) {
        advanceWindow(running, now);
        peakRunning = Math.max(peakRunning, running);
    }

    /** Notes a request that found no permit. */
    void recordUnmet(int running, Instant now) {
        advanceWindow(running, now);
        unmetRequests++;
    }

    /** Returns the permits that there was use for in this window or the one before. */
    int permitsNeeded(int running, Instant now) {
        advanceWindow(running, now);
        return Math.max(previousNeed, peakRunning + unmetRequests);
    }

    private void advanceWindow(int running, Instant now) {
        if (now.isBefore(windowEnd)) {
            return;
        }
        boolean next = windowEnd != Instant.MIN && now.isBefore(windowEnd.plus(window));
        previousNeed = next ? peakRunning + unmetRequests : running;
        peakRunning = running;
        unmetRequests = 0;
        windowEnd = now.plus(window);
    }
}
