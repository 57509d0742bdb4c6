package org.chervillift.api.tasks;

import org.chervillift.api.Checks;
import org.chervillift.api.SaturatedMath;

/**
 * An amount of what a worker offers and a task asks for.
 *
 * @param milliCores thousandths of a processor core
 * @param memoryMb memory in MB
 * @param gpus accelerators
 */
public record Resources(long milliCores, long memoryMb, long gpus) {

    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    public Resources {
        Checks.notNegative("milliCores", milliCores);
        Checks.notNegative("memoryMb", memoryMb);
        Checks.notNegative("gpus", gpus);
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                SaturatedMath.add(milliCores, other.milliCores),
                SaturatedMath.add(memoryMb, other.memoryMb),
                SaturatedMath.add(gpus, other.gpus));
    }

    /** Returns the difference, with nothing below zero. */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, gpus - other.gpus));
    }

    /** Returns this amount as often as a count says. */
    public Resources times(long count) {
        return new Resources(
                SaturatedMath.multiply(milliCores, count),
                SaturatedMath.multiply(memoryMb, count),
                SaturatedMath.multiply(gpus, count));
    }

    /** Returns whether this fits into what another amount offers. */
    public boolean fitsIn(Resources room) {
        return milliCores <= room.milliCores && memoryMb <= room.memoryMb && gpus <= room.gpus;
    }

    /** Returns whether this fits into limits of which a zero sets no bound. */
    public boolean fitsInLimit(Resources limit) {
        return (limit.milliCores == 0 || milliCores <= limit.milliCores)
                && (limit.memoryMb == 0 || memoryMb <= limit.memoryMb)
                && (limit.gpus == 0 || gpus <= limit.gpus);
    }

    /** Returns the same amount without processor time. */
    public Resources withoutCores() {
        return new Resources(0, memoryMb, gpus);
    }

    /** Returns the larger amount of each resource. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMb, other.memoryMb),
                Math.max(gpus, other.gpus));
    }
}
