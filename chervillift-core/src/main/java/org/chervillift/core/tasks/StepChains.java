package org.chervillift.core.tasks;

import java.util.List;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.chervillift.api.SaturatedMath;
import org.chervillift.api.tasks.StepSpec;

/** Adds up the durations of steps that run one after the other. */
public final class StepChains {

    private StepChains() {}

    /**
     * Returns the duration of the longest chain of dependent steps, in milliseconds.
     *
     * @param steps the steps of a job, in its order
     * @param duration the duration of a step, in milliseconds
     */
    public static <T> long longestMillis(
            List<T> steps, Function<T, StepSpec> specOf, ToLongFunction<T> duration) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            T step = steps.get(i);
            long start = 0;
            for (int before : specOf.apply(step).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = SaturatedMath.add(start, duration.applyAsLong(step));
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
