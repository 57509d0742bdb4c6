package org.chervillift.core.limits.internal;

import java.time.Duration;
import java.time.Instant;

/** The recent peak demand for permits of a team at one entry VM, over two time windows. */
final class PermitDemand {

    private final Duration window;
    private Instant windowEnd = Instant.MIN;
    private int peakRunning;
    private int unmetRequests;
    private int previousNeed;

    PermitDemand(Duration window) {
        this.window = window;
    }

    /** Records the number of running requests. */
    void recordRunning(int running, Instant now) {
        advanceWindow(running, now);
        peakRunning = Math.max(peakRunning, running);
    }

    /** Records a request that got no permit. */
    void recordUnmet(int running, Instant now) {
        advanceWindow(running, now);
        unmetRequests++;
    }

    /** Returns the peak demand of the current and the previous window. */
    int permitsNeeded(int running, Instant now) {
        advanceWindow(running, now);
        return Math.max(previousNeed, peakRunning + unmetRequests);
    }

    private void advanceWindow(int running, Instant now) {
        if (now.isBefore(windowEnd)) {
            return;
        }
        boolean isNextWindow = windowEnd != Instant.MIN && now.isBefore(windowEnd.plus(window));
        previousNeed = isNextWindow ? peakRunning + unmetRequests : running;
        peakRunning = running;
        unmetRequests = 0;
        windowEnd = now.plus(window);
    }
}
