package org.chervillift.bench.waves;

import java.time.Duration;

/**
 * What a randomised run does.
 *
 * @param seed all randomness comes from it
 * @param variant what is left out on purpose
 * @param repeatPart the part of maintenance operations that reach the VM once more, minutes late
 * @param faultTime how long faults go on
 * @param calmTime how long the run may take to finish its waves without faults
 */
public record SoakSettings(
        long seed, Variant variant, double repeatPart, Duration faultTime, Duration calmTime) {}
