package org.chervillift.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Tells a failing upstream from a good one.
 *
 * <p>Failing upstreams get one trial request at a time, at growing intervals. Two good trials in a
 * row end that. Confined to one thread.
 */
final class Health {

    private static final double WEIGHT = 0.1;
    private static final double FAILING = 0.6;
    private static final double AFTER_TRIALS = 0.3;
    private static final int GOOD_TRIALS = 2;
    private static final int MOST_DOUBLINGS = 10;

    private final RoutingSettings settings;
    private double failures;
    private boolean ejected;
    private int ejections;
    private int goodTrials;
    private boolean trialOut;
    private Last last = Last.NONE;
    private Instant nextTrial = Instant.MIN;

    Health(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Returns the smoothed part of attempts that failed. */
    double failures() {
        return failures;
    }

    /** Returns whether the last attempts failed, so that others go first. */
    boolean isSuspect() {
        return ejected || failures >= FAILING;
    }

    /** Returns whether the next request that goes there is a trial. */
    boolean isTrialNext() {
        return ejected && !trialOut;
    }

    Last last() {
        return last;
    }

    boolean takesWork(Instant now) {
        return !ejected || (!trialOut && !now.isBefore(nextTrial));
    }

    void started() {
        trialOut = ejected;
    }

    void unused() {
        trialOut = false;
    }

    void good() {
        last = Last.GOOD;
        failures -= WEIGHT * failures;
        trialOut = false;
        if (!ejected) {
            return;
        }
        goodTrials++;
        if (goodTrials >= GOOD_TRIALS) {
            ejected = false;
            ejections = 0;
            failures = AFTER_TRIALS;
        }
    }

    /**
     * Counts a failure.
     *
     * @param othersFine whether the other upstreams of the pool do well; a failure that all share
     *     is not the upstream's own
     */
    void failed(boolean othersFine, RandomGenerator random, Instant now) {
        last = Last.FAILED;
        failures += WEIGHT * (1 - failures);
        if (ejected) {
            if (trialOut) {
                eject(random, now);
            }
            return;
        }
        if (failures >= FAILING && othersFine) {
            eject(random, now);
        }
    }

    /** Ejects at once, whatever the others do: nothing can be sent there. */
    void unreachable(RandomGenerator random, Instant now) {
        last = Last.FAILED;
        failures += WEIGHT * (1 - failures);
        if (!ejected || trialOut) {
            eject(random, now);
        }
    }

    private void eject(RandomGenerator random, Instant now) {
        ejected = true;
        trialOut = false;
        goodTrials = 0;
        long most = settings.longestEjection().toNanos();
        long span = Math.min(settings.firstEjection().toNanos() << ejections, most);
        long jittered = span / 2 + random.nextLong(span / 2 + 1);
        ejections = Math.min(ejections + 1, MOST_DOUBLINGS);
        nextTrial = now.plus(Duration.ofNanos(jittered));
    }

    /** How the last attempt ended. */
    enum Last {
        NONE,
        GOOD,
        FAILED
    }
}
