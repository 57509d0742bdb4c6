package org.chervillift.core.limits.internal;

import java.time.Duration;
import java.time.Instant;

/** How many permits a team had use for lately at one entry VM, over two windows of time. */
final class Demand {

    private final Duration window;
    private Instant windowEnd = Instant.MIN;
    private int peak;
    private int unmet;
    private int lastNeed;

    Demand(Duration window) {
        this.window = window;
    }

    /** Notes that so many requests run. */
    void running(int running, Instant now) {
        roll(running, now);
        peak = Math.max(peak, running);
    }

    /** Notes a request that found no permit. */
    void unmet(int running, Instant now) {
        roll(running, now);
        unmet++;
    }

    /** Returns the permits that there was use for in this window or the one before. */
    int need(int running, Instant now) {
        roll(running, now);
        return Math.max(lastNeed, peak + unmet);
    }

    private void roll(int running, Instant now) {
        if (now.isBefore(windowEnd)) {
            return;
        }
        boolean next = windowEnd != Instant.MIN && now.isBefore(windowEnd.plus(window));
        lastNeed = next ? peak + unmet : running;
        peak = running;
        unmet = 0;
        windowEnd = now.plus(window);
    }
}
