package org.chervillift.core.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;

/** Decides when a wave is paused automatically. */
final class WavePausePolicy {

    /** A wave is paused if the probability of at least as many failures by chance is below this. */
    private static final double SIGNIFICANCE_LEVEL = 0.01;

    /** One failure never pauses a wave: budget and probation are sufficient for a single one. */
    private static final int MIN_FAILURES = 2;

    /** How long after its return a failure of a VM is attributed to the wave. */
    private static final Duration OBSERVATION_PERIOD = Duration.ofMinutes(30);

    private static final double MILLIS_PER_DAY = Duration.ofDays(1).toMillis();

    private WavePausePolicy() {}

    /** Returns whether a failure of the VM now is attributed to the wave. */
    static boolean isSoonAfterReturn(WaveRow wave, VmRow vm, Instant now) {
        return vm.maintainedAtMillis() >= wave.startedAtMillis()
                && now.toEpochMilli() - vm.maintainedAtMillis() < OBSERVATION_PERIOD.toMillis();
    }

    /**
     * Returns the wave after failures, paused if returned VMs fail significantly more than others.
     */
    static WaveRow afterFailures(
            WaveRow wave,
            List<VmRow> failed,
            Collection<VmRow> vms,
            WaveSettings settings,
            Instant now) {
        List<String> failedAfterReturn = new ArrayList<>(wave.failedAfterReturn());
        int others = wave.failedOthers();
        for (VmRow v : failed) {
            if (isSoonAfterReturn(wave, v, now)) {
                failedAfterReturn.add(v.id());
            } else if (wave.hasToDo(v)) {
                others++;
            }
        }
        WaveRow counted = wave.withFailures(failedAfterReturn, others);
        return counted.state() == WaveState.RUNNING
                ? pauseIfAboveExpected(counted, vms, settings, now)
                : counted;
    }

    /** Returns the wave paused because a VM did not return. */
    static WaveRow afterNoReturn(WaveRow wave, VmRow vm, WaveSettings settings) {
        if (wave.state() != WaveState.RUNNING) {
            return wave;
        }
        return wave.enter(
                WaveState.PAUSED,
                "VM %s did not return within %d s of its reboot."
                        .formatted(vm.id(), settings.returnTimeout().toSeconds()));
    }

    private static WaveRow pauseIfAboveExpected(
            WaveRow wave, Collection<VmRow> vms, WaveSettings settings, Instant now) {
        int failures = wave.failedAfterReturn().size();
        if (failures < MIN_FAILURES) {
            return wave;
        }
        double expected = expectedFailures(wave, vms, settings, now);
        if (probabilityOfAtLeast(failures, expected) >= SIGNIFICANCE_LEVEL) {
            return wave;
        }
        String sentence =
                "%d VMs failed within %d min of their return, but only %.2f were expected: %s."
                        .formatted(
                                failures,
                                OBSERVATION_PERIOD.toMinutes(),
                                expected,
                                String.join(", ", wave.failedAfterReturn()));
        return wave.enter(WaveState.PAUSED, sentence);
    }

    /**
     * Returns the failures that the returned VMs would have had at the failure rate of the others.
     */
    private static double expectedFailures(
            WaveRow wave, Collection<VmRow> vms, WaveSettings settings, Instant now) {
        double returnedVmDays = 0;
        double otherVmDays = 0;
        long sinceStart = now.toEpochMilli() - wave.startedAtMillis();
        for (VmRow v : vms) {
            if (v.maintainedAtMillis() >= wave.startedAtMillis()) {
                long age = now.toEpochMilli() - v.maintainedAtMillis();
                returnedVmDays += Math.min(age, OBSERVATION_PERIOD.toMillis()) / MILLIS_PER_DAY;
            } else if (wave.hasToDo(v)) {
                otherVmDays += sinceStart / MILLIS_PER_DAY;
            }
        }
        double priorVmDays = 1 / settings.failuresPerVmDay();
        double rate = (1 + wave.failedOthers()) / (priorVmDays + otherVmDays);
        return rate * returnedVmDays;
    }

    /**
     * Returns the probability that a Poisson variable with this mean is at least the given count.
     */
    static double probabilityOfAtLeast(int count, double mean) {
        double term = Math.exp(-mean);
        double below = 0;
        for (int i = 0; i < count; i++) {
            below += term;
            term *= mean / (i + 1);
        }
        return Math.max(0, 1 - below);
    }
}
