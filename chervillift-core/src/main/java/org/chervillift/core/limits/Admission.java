package org.chervillift.core.limits;

import java.time.Duration;
import org.chervillift.api.Checks;

/** Whether a request may run within its team's limit. */
public sealed interface Admission {

    /**
     * The request may run.
     *
     * @param permit to be checked once more before the send, and ended exactly once
     */
    record Admitted(Permit permit) implements Admission {
        public Admitted {
            Checks.notNull("permit", permit);
        }
    }

    /**
     * No permit is here, but the platform may have one to give: ask again soon.
     *
     * @param within the longest wait that makes sense
     */
    record Pending(Duration within) implements Admission {
        public Pending {
            Checks.notNull("within", within);
        }
    }

    /**
     * The team has no permit for this request.
     *
     * @param retryAfter when it is worth asking again
     */
    record Refused(Duration retryAfter) implements Admission {
        public Refused {
            Checks.notNull("retryAfter", retryAfter);
        }
    }
}
