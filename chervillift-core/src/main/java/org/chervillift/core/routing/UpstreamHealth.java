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
final class UpstreamHealth {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double EJECTION_THRESHOLD = 0.6;
    private static final double FAILURE_RATE_AFTER_RECOVERY = 0.3;
    private static final int TRIALS_TO_RECOVER = 2;
    private static final int MAX_DOUBLINGS = 10;

    private final RoutingSettings settings;
    private double failureRate;
    private boolean ejected;
    private int consecutiveEjections;
    private int successfulTrials;
    private boolean trialInFlight;
    private LastResult lastResult = LastResult.NONE;
    private Instant nextTrialAt = Instant.MIN;

    UpstreamHealth(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Returns the smoothed part of attempts that failed. */
    double failureRate() {
        return failureRate;
    }

    /** Returns whether the last attempts failed, so that others go first. */
    boolean isSuspect() {
        return ejected || failureRate >= EJECTION_THRESHOLD;
    }

    /** Returns whether the next request that goes there is a trial. */
    boolean isTrialNext() {
        return ejected && !trialInFlight;
    }

    LastResult lastResult() {
        return lastResult;
    }

    boolean acceptsRequests(Instant now) {
        return !ejected || (!trialInFlight && !now.isBefore(nextTrialAt));
    }

    void requestStarted() {
        trialInFlight = ejected;
    }

    void requestNotRun() {
        trialInFlight = false;
    }

    void requestSucceeded() {
        lastResult = LastResult.SUCCEEDED;
        failureRate -= SMOOTHING_FACTOR * failureRate;
        trialInFlight = false;
        if (!ejected) {
            return;
        }
        successfulTrials++;
        if (successfulTrials >= TRIALS_TO_RECOVER) {
            ejected = false;
            consecutiveEjections = 0;
            failureRate = FAILURE_RATE_AFTER_RECOVERY;
        }
    }

    /**
     * Counts a failure.
     *
     * @param othersFine whether the other upstreams of the pool do well; a failure that all share
     *     is not the upstream's own
     */
    void requestFailed(boolean othersFine, RandomGenerator random, Instant now) {
        lastResult = LastResult.FAILED;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        if (ejected) {
            if (trialInFlight) {
                eject(random, now);
            }
            return;
        }
        if (failureRate >= EJECTION_THRESHOLD && othersFine) {
            eject(random, now);
        }
    }

    /** Ejects at once, whatever the others do: nothing can be sent there. */
    void unreachable(RandomGenerator random, Instant now) {
        lastResult = LastResult.FAILED;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        if (!ejected || trialInFlight) {
            eject(random, now);
        }
    }

    private void eject(RandomGenerator random, Instant now) {
        ejected = true;
        trialInFlight = false;
        successfulTrials = 0;
        long most = settings.maxEjection().toNanos();
        long span = Math.min(settings.initialEjection().toNanos() << consecutiveEjections, most);
        long jittered = span / 2 + random.nextLong(span / 2 + 1);
        consecutiveEjections = Math.min(consecutiveEjections + 1, MAX_DOUBLINGS);
        nextTrialAt = now.plus(Duration.ofNanos(jittered));
    }

    /** How the last attempt ended. */
    enum LastResult {
        NONE,
        SUCCEEDED,
        FAILED
    }
}
