package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.runtime.supervision.Scheduler;

/** Advice on workers that goes by a fixed rule. */
public final class MemoryAdvice implements PlacementAdvice {

    private static final Duration VALIDITY = Duration.ofSeconds(30);

    private final Later later;
    private final Predicate<String> allowed;

    /**
     * Creates the service.
     *
     * @param allowed tells by its identifier whether a worker may run the steps that need advice
     */
    public MemoryAdvice(Scheduler scheduler, Predicate<String> allowed) {
        this.later = new Later(Checks.notNull("scheduler", scheduler));
        this.allowed = Checks.notNull("allowed", allowed);
    }

    @Override
    public CompletionStage<Allowed> ask(
            String job, int occurrence, int step, List<String> workers) {
        return later.complete(
                MemoryStore.LATENCY,
                () ->
                        new Allowed(
                                workers.stream()
                                        .filter(allowed)
                                        .collect(
                                                Collectors.toMap(
                                                        Function.identity(), w -> "ticket-" + w)),
                                VALIDITY));
    }
}
