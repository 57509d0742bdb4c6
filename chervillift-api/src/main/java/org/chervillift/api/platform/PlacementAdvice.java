package org.chervillift.api.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;

/** The service that names the workers which may run a step of an advised queue. */
public interface PlacementAdvice {

    /** The most workers that one call may name. */
    int MOST_WORKERS = 100;

    /** Asks which workers may run a step; fails when the service does not answer well. */
    CompletionStage<Allowed> ask(String job, int occurrence, int step, List<String> workers);

    /**
     * The workers that may run a step.
     *
     * @param tickets the ticket of each such worker, by the worker's identifier
     * @param validity how long the tickets hold
     */
    record Allowed(Map<String, String> tickets, Duration validity) {
        public Allowed {
            tickets = Map.copyOf(tickets);
            Checks.notNull("validity", validity);
        }
    }
}
