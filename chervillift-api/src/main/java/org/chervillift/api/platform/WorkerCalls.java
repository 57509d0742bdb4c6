package org.chervillift.api.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.TaskId;

/** Calls to one lifetime of a worker. No call is sent twice. */
public interface WorkerCalls {

    /**
     * Renews the worker's lease and reads what it runs.
     *
     * @param fence the fencing token of the holder
     * @param expiresAt the end of the lease on the worker's clock in milliseconds, if it is known
     * @param acknowledged the greatest number of an end that need not be told again
     * @param wait how long the worker waits for an end before it answers
     * @return what the worker said
     */
    CompletionStage<HoldAnswer> hold(
            long fence, OptionalLong expiresAt, long acknowledged, Duration wait);

    /** Starts a run of a task. */
    CompletionStage<OrderAnswer> start(StartCall call);

    /** Stops a run of a task; one that is not there yet will be refused. */
    CompletionStage<OrderAnswer> stop(TaskId task, int run, long fence);

    /** Lets a run work at a share of its speed, in percent. */
    CompletionStage<OrderAnswer> pace(TaskId task, int run, int percent, long fence);

    /** Closes the connections. */
    void close();

    /** What a worker said to a renewal. */
    sealed interface HoldAnswer {

        /**
         * The worker's report.
         *
         * @param report what runs and what has ended
         */
        record Reported(RunReport report) implements HoldAnswer {
            public Reported {
                Checks.notNull("report", report);
            }
        }

        /** A newer holder gives the orders. */
        record Fenced() implements HoldAnswer {}

        /** Another lifetime answers at this address. */
        record OtherLifetime() implements HoldAnswer {}

        /**
         * No report came.
         *
         * @param reason what was found
         */
        record Failed(String reason) implements HoldAnswer {
            public Failed {
                Checks.notNull("reason", reason);
            }
        }
    }

    /**
     * An order to start a task.
     *
     * @param task the task
     * @param run the number of the run
     * @param payload the text of the job
     * @param expiresAt the end of the worker's lease, on its clock in milliseconds
     * @param fence the fencing token of the holder
     * @param checkpoint saved progress to go on from, or empty
     * @param ticket the advice service's ticket, if the queue needs one
     */
    record StartCall(
            TaskId task,
            int run,
            String payload,
            long expiresAt,
            long fence,
            String checkpoint,
            Optional<String> ticket) {
        public StartCall {
            Checks.notNull("task", task);
            Checks.notNull("payload", payload);
            Checks.notNull("checkpoint", checkpoint);
            Checks.notNull("ticket", ticket);
        }
    }
}
