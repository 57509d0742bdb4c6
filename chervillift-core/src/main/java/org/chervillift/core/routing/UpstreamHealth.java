package org.chervillift.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Detects a failing upstream and ejects it until it has recovered, like a circuit breaker.
 *
 * <p>An ejected upstream gets one trial request at a time, at growing intervals. Two successful
 * trials in a row end the ejection. Not thread-safe.
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

    /** Returns the exponentially smoothed fraction of attempts that failed. */
    double failureRate() {
        return failureRate;
    }

    /** Returns whether recent attempts failed, so that other upstreams are preferred. */
    boolean isSuspect() {
        return ejected || failureRate >= EJECTION_THRESHOLD;
    }

    /** Returns whether the next request to the upstream is a trial. */
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
     * Records a failure.
     *
     * @param areOthersHealthy whether the other upstreams of the pool are healthy; if they fail
     *     too, the cause is not this upstream, and it is not ejected
     */
    void requestFailed(boolean areOthersHealthy, RandomGenerator random, Instant now) {
        lastResult = LastResult.FAILED;
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        if (ejected) {
            if (trialInFlight) {
                eject(random, now);
            }
            return;
        }
        if (failureRate >= EJECTION_THRESHOLD && areOthersHealthy) {
            eject(random, now);
        }
    }

    /** Ejects the upstream at once, whatever the state of the others: nothing can be sent to it. */
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
        long maxNanos = settings.maxEjection().toNanos();
        long durationNanos =
                Math.min(settings.initialEjection().toNanos() << consecutiveEjections, maxNanos);
        long jitteredNanos = durationNanos / 2 + random.nextLong(durationNanos / 2 + 1);
        consecutiveEjections = Math.min(consecutiveEjections + 1, MAX_DOUBLINGS);
        nextTrialAt = now.plus(Duration.ofNanos(jitteredNanos));
    }

    /** How the last attempt ended. */
    enum LastResult {
        NONE,
        SUCCEEDED,
        FAILED
    }
}
