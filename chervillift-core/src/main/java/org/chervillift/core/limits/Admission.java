package org.chervillift.core.limits;

import java.time.Duration;
import org.chervillift.api.Checks;

/** The result of asking for a permit. */
public sealed interface Admission {

    /**
     * The request may run.
     *
     * @param permit the permit, to be checked again before the send and released exactly once
     */
    record Admitted(Permit permit) implements Admission {
        public Admitted {
            Checks.notNull("permit", permit);
        }
    }

    /**
     * This process has no permit, but the platform may have a free one; the caller retries soon.
     *
     * @param within the longest time that the caller should keep retrying
     */
    record Pending(Duration within) implements Admission {
        public Pending {
            Checks.notNull("within", within);
        }
    }

    /**
     * No permit is available for this request.
     *
     * @param retryAfter how long to wait before the next try
     */
    record Refused(Duration retryAfter) implements Admission {
        public Refused {
            Checks.notNull("retryAfter", retryAfter);
        }
    }
}
