package org.chervillift.daemon.requests;

import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** What became of a request that was sent, or was to be sent. */
public sealed interface SendResult {

    /**
     * The whole answer came.
     *
     * @param reply the answer
     */
    record Replied(UpstreamResponse reply) implements SendResult {
        public Replied {
            Checks.notNull("reply", reply);
        }
    }

    /**
     * It did not run.
     *
     * @param reason how that is known
     * @param code why
     */
    record NotRun(Reason reason, ErrorCode code) implements SendResult {
        public NotRun {
            Checks.notNull("reason", reason);
            Checks.notNull("code", code);
        }
    }

    /**
     * A byte may have left, and no whole answer came.
     *
     * @param code why
     */
    record MayHaveRun(ErrorCode code) implements SendResult {
        public MayHaveRun {
            Checks.notNull("code", code);
        }
    }

    /** How it is known that a request did not run. */
    enum Reason {
        /** No connection came about. */
        UNREACHABLE,
        /** The other side said that it is busy. */
        BUSY,
        /** The other side said that it is leaving. */
        LEAVING,
        /** The other side refused the request for a reason that lies in the request. */
        REFUSED,
        /** Nothing was sent, since the target is no longer good. */
        NOT_SENT
    }
}
