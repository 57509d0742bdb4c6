package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.tasks.Resources;

/** Keeps tasks, workers and what each customer has running in step with each other. */
final class RunRegistry {

    private final Map<String, Resources> usageByCustomer = new HashMap<>();

    /** Notes a run; whether its number counts as used is the caller's to say. */
    Run open(TaskEntry task, WorkerRecord worker, int number, Run.Phase phase, long now) {
        Run run = new Run(task, number, worker, phase, now);
        task.runs().add(run);
        worker.add(run);
        usageByCustomer.merge(customerOf(run), run.task().step().spec().request(), Resources::plus);
        return run;
    }

    void close(Run run) {
        if (run.task().runs().remove(run)) {
            run.worker().remove(run);
            usageByCustomer.computeIfPresent(
                    customerOf(run), (c, u) -> u.minus(run.task().step().spec().request()));
        }
    }

    /** Returns what a customer may have running now. */
    Resources usageOf(String customer) {
        return usageByCustomer.getOrDefault(customer, Resources.NONE);
    }

    private static String customerOf(Run run) {
        return run.task().step().job().job().customer();
    }
}
