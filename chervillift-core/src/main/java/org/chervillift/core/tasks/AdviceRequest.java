package org.chervillift.core.tasks;

import java.util.List;

/**
 * A request to the placement advice service: which workers may run a step.
 *
 * @param job the job's identifier
 * @param occurrence the occurrence of the job's schedule, counted from 0
 * @param step the step's number, counted from 0
 * @param workers the candidate workers
 */
public record AdviceRequest(String job, int occurrence, int step, List<String> workers) {
    public AdviceRequest {
        workers = List.copyOf(workers);
    }
}
