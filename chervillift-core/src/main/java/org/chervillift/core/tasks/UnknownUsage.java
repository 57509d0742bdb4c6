package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.Resources;

/**
 * Calculates what customers may have running that this holder does not know of.
 *
 * <p>After a change of the holder, each task that is not done of a step that the predecessor has
 * begun may run on a worker that has not reported yet. It counts towards its customer's limit.
 */
final class UnknownUsage {

    private UnknownUsage() {}

    /**
     * Returns the resources by customer.
     *
     * @param pools the pools of the workers that may have runs which this holder does not know
     */
    static Map<String, Resources> of(Collection<JobEntry> liveJobs, Set<String> pools) {
        Map<String, Resources> usage = new HashMap<>();
        if (pools.isEmpty()) {
            return usage;
        }
        for (JobEntry job : liveJobs) {
            job.steps()
                    .filter(s -> !s.isDone() && s.begunPools().mayHaveBegunByPredecessor(pools))
                    .map(UnknownUsage::of)
                    .forEach(u -> usage.merge(job.job().customer(), u, Resources::plus));
        }
        return usage;
    }

    private static Resources of(StepEntry step) {
        long tasks = Math.min(step.tasks().waitingCount(), JobSizeLimits.maxBegunTasks(step));
        return step.spec().request().times(tasks);
    }
}
