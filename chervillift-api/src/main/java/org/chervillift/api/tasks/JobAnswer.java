package org.chervillift.api.tasks;

import java.time.Duration;
import org.chervillift.api.Checks;

/** What a caller is told about jobs. */
public sealed interface JobAnswer {

    /** The job is stored. */
    record Accepted() implements JobAnswer {}

    /** The job is withdrawn. */
    record Cancelled() implements JobAnswer {}

    /**
     * How far a job is.
     *
     * @param status the status
     */
    record State(JobStatus status) implements JobAnswer {
        public State {
            Checks.notNull("status", status);
        }
    }

    /**
     * How long a queue is.
     *
     * @param jobs the accepted jobs of which nothing has started
     */
    record Pending(int jobs) implements JobAnswer {}

    /** There is no such queue. */
    record NoSuchQueue() implements JobAnswer {}

    /** There is no such job. */
    record NoSuchJob() implements JobAnswer {}

    /** The key is missing or not in force. */
    record KeyRefused() implements JobAnswer {}

    /** The key is another customer's. */
    record NotAllowed() implements JobAnswer {}

    /**
     * The request is not well formed.
     *
     * @param detail what is wrong
     */
    record Malformed(String detail) implements JobAnswer {
        public Malformed {
            Checks.notNull("detail", detail);
        }
    }

    /**
     * The job is too large to be completed ever; it is not taken and never runs.
     *
     * @param detail which limit it exceeds
     */
    record TooLarge(String detail) implements JobAnswer {
        public TooLarge {
            Checks.notNull("detail", detail);
        }
    }

    /**
     * The queue is too full; the job is not taken and never runs.
     *
     * @param retryAfter when to come back
     */
    record TooBusy(Duration retryAfter) implements JobAnswer {
        public TooBusy {
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /**
     * The request cannot be served now; a job that it brought is not taken and never runs.
     *
     * @param detail why
     * @param retryAfter when to come back
     */
    record Unavailable(String detail, Duration retryAfter) implements JobAnswer {
        public Unavailable {
            Checks.notNull("detail", detail);
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** It is not known whether the request took effect. */
    record OutcomeUnknown() implements JobAnswer {}
}
