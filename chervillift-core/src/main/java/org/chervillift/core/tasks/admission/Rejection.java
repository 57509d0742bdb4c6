package org.chervillift.core.tasks.admission;

import java.time.Duration;
import org.chervillift.api.Checks;

/** Why a job is rejected at submission. */
public sealed interface Rejection {

    /** The causes, for metrics and the log. */
    enum Cause {
        /** A gang has more tasks than are ever started together. */
        GANG_TOO_LARGE,
        /** A task asks for more than any VM offers. */
        EXCEEDS_ANY_VM,
        /** A task, or a gang, asks for more than its customer may ever have running. */
        EXCEEDS_CUSTOMER_LIMIT,
        /** The job would start when it is of no more value to its caller. */
        TOO_LATE
    }

    /** Returns the cause. */
    Cause cause();

    /**
     * The job can never be served.
     *
     * @param cause the cause
     * @param sentence why, for the caller
     */
    record NeverServed(Cause cause, String sentence) implements Rejection {
        public NeverServed {
            Checks.notNull("cause", cause);
            Checks.notBlank("sentence", sentence);
        }
    }

    /**
     * The job can be served later.
     *
     * @param retryAfter after what time the caller may retry
     */
    record Later(Duration retryAfter) implements Rejection {
        public Later {
            Checks.notNull("retryAfter", retryAfter);
        }

        @Override
        public Cause cause() {
            return Cause.TOO_LATE;
        }
    }
}
