package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * A step of a job: a number of equal tasks.
 *
 * @param count how many tasks
 * @param request what each task asks for
 * @param estimatedMillis a rough estimate of a task's run time
 * @param after the steps, counted from 0, that must be done before
 * @param gang whether the tasks run only all together
 * @param tightlyCoupled whether the tasks are slower when spread over racks
 * @param requiredLabel the label that a worker must have, or empty
 * @param dataRack the rack near which the tasks are fast, or empty
 * @param maxPerWorker the most tasks of the step on one worker; 0 sets no bound
 * @param allowDuplicates whether copies of a task may run side by side
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param tailTargetMillis the bound on the tail of the response times that the tasks serve; 0 for
 *     tasks that serve nobody
 * @param fillsSpareCapacity whether the tasks use only processor time that others leave
 * @param mayMiss how many tasks may be away at once through acts of the system; 0 sets no bound
 * @param checkpointing whether the tasks save their progress
 */
public record StepSpec(
        int count,
        Resources request,
        long estimatedMillis,
        List<Integer> after,
        boolean gang,
        boolean tightlyCoupled,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean allowDuplicates,
        boolean longRunning,
        String image,
        long tailTargetMillis,
        boolean fillsSpareCapacity,
        int mayMiss,
        boolean checkpointing) {

    public StepSpec {
        Checks.inRange("count", count, 1, Integer.MAX_VALUE);
        Checks.notNull("request", request);
        Checks.notNegative("estimatedMillis", estimatedMillis);
        after = List.copyOf(after);
        Checks.notNull("requiredLabel", requiredLabel);
        Checks.notNull("dataRack", dataRack);
        Checks.notNegative("maxPerWorker", maxPerWorker);
        Checks.notNull("image", image);
        Checks.notNegative("tailTargetMillis", tailTargetMillis);
        Checks.notNegative("mayMiss", mayMiss);
    }

    /** Returns what a task takes from the room of its worker. */
    public Resources footprint() {
        return fillsSpareCapacity ? request.withoutCores() : request;
    }

    /** Returns whether the tasks serve users of their own. */
    public boolean serves() {
        return tailTargetMillis > 0;
    }
}
