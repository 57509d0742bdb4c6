package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.tasks.Resources;

/** Opens and closes runs, and keeps tasks, workers and the usage of customers consistent. */
final class RunRegistry {

    private final Map<String, Resources> usageByCustomer = new HashMap<>();
    private int openCount;

    /** Opens a run. The caller records the run number on the task if it counts as used. */
    Run open(TaskEntry task, WorkerRecord worker, int number, Run.Phase phase, long now) {
        Run run = new Run(task, number, worker, phase, now);
        task.runs().add(run);
        task.step().tasks().keep(task);
        worker.add(run);
        openCount++;
        usageByCustomer.merge(customerOf(run), run.task().step().spec().request(), Resources::plus);
        return run;
    }

    void close(Run run) {
        if (run.task().runs().remove(run)) {
            run.worker().remove(run);
            openCount--;
            run.task().step().tasks().dropIfUnneeded(run.task());
            usageByCustomer.computeIfPresent(
                    customerOf(run), (c, u) -> u.minus(run.task().step().spec().request()));
        }
    }

    /** Returns the number of open runs. */
    int openCount() {
        return openCount;
    }

    /** Returns the resources of all open runs of a customer. */
    Resources usageOf(String customer) {
        return usageByCustomer.getOrDefault(customer, Resources.NONE);
    }

    private static String customerOf(Run run) {
        return run.task().step().job().job().customer();
    }
}
