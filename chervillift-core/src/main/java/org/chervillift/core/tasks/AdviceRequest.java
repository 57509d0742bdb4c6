package org.chervillift.core.tasks;

import java.util.List;

/**
 * A question to the advice service.
 *
 * @param job the job
 * @param occurrence the occurrence
 * @param step the step
 * @param workers the workers of which it is asked which may run the step
 */
public record AdviceRequest(String job, int occurrence, int step, List<String> workers) {
    public AdviceRequest {
        workers = List.copyOf(workers);
    }
}
