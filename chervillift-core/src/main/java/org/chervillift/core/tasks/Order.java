package org.chervillift.core.tasks;

import java.util.Optional;
import org.chervillift.api.tasks.TaskId;

/** An order to a worker about one run of a task. */
public sealed interface Order {

    /** Returns the identifier of the worker that receives the order. */
    String worker();

    /** Returns the task. */
    TaskId task();

    /** Returns the number of the run. */
    int run();

    /**
     * Start a run.
     *
     * @param payload the job's payload
     * @param checkpoint the saved progress from which to resume, or empty
     * @param ticket the ticket of the advice service, if the queue requires one
     */
    record Start(
            String worker,
            TaskId task,
            int run,
            String payload,
            String checkpoint,
            Optional<String> ticket)
            implements Order {}

    /** Stop a run. */
    record Stop(String worker, TaskId task, int run) implements Order {}

    /**
     * Limit the speed of a run.
     *
     * @param percent the allowed share of its full speed, in percent
     */
    record Pace(String worker, TaskId task, int run, int percent) implements Order {}
}
