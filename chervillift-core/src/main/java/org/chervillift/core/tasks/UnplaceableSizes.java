package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;

/**
 * Remembers task sizes for which a pool had no room in a plan, so that tasks of the same size or
 * larger are not compared with each worker again.
 *
 * <p>Used when a surge lets thousands of steps wait in a full pool. Room only shrinks while a plan
 * starts tasks.
 */
final class UnplaceableSizes {

    /** Steps of a pool have few sizes; the search stays short if they have many. */
    private static final int MAX_SIZES = 16;

    private final List<Resources> sizes = new ArrayList<>();

    /** Returns whether no worker can have room for a task. */
    boolean isUnplaceable(TaskEntry task) {
        return !task.crashes().needsIsolation() && isCovered(task.step().spec().footprint());
    }

    private boolean isCovered(Resources footprint) {
        for (Resources size : sizes) {
            if (size.fitsIn(footprint)) {
                return true;
            }
        }
        return false;
    }

    /** Records that no worker was found for a task; the size counts if nothing but it decides. */
    void record(TaskEntry task) {
        if (dependsOnSizeOnly(task) && sizes.size() < MAX_SIZES && !isUnplaceable(task)) {
            Resources footprint = task.step().spec().footprint();
            sizes.removeIf(footprint::fitsIn);
            sizes.add(footprint);
        }
    }

    private static boolean dependsOnSizeOnly(TaskEntry task) {
        StepSpec spec = task.step().spec();
        return !task.crashes().needsIsolation()
                && spec.requiredLabel().isEmpty()
                && spec.dataRack().isEmpty()
                && !spec.tightlyCoupled()
                && spec.maxPerWorker() == 0
                && !task.step().job().policy().advised();
    }
}
