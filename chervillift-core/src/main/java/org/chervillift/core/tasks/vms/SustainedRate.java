package org.chervillift.core.tasks.vms;

import java.util.ArrayDeque;
import java.util.Deque;

/** The rate that was not undercut for a second, so that a few jobs at once are no peak. */
final class SustainedRate {

    private static final long SUSTAINED_MILLIS = 1_000;

    /** Samples of increasing rates; the first one is the lowest of the window. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    private long firstSampleAt = Long.MAX_VALUE;

    private record Sample(long rate, long at) {}

    /** Records a rate; returns the lowest one of the last second, 0 before a second has passed. */
    long update(long rate, long now) {
        firstSampleAt = Math.min(firstSampleAt, now);
        while (!samples.isEmpty() && samples.peekLast().rate() >= rate) {
            samples.pollLast();
        }
        samples.add(new Sample(rate, now));
        while (now - samples.peekFirst().at() > SUSTAINED_MILLIS) {
            samples.pollFirst();
        }
        return now - firstSampleAt < SUSTAINED_MILLIS ? 0 : samples.peekFirst().rate();
    }
}
