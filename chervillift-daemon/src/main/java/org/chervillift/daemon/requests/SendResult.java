package org.chervillift.daemon.requests;

import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** The result of an attempt to send a request. */
public sealed interface SendResult {

    /**
     * The complete response was received.
     *
     * @param reply the response
     */
    record Replied(UpstreamResponse reply) implements SendResult {
        public Replied {
            Checks.notNull("reply", reply);
        }
    }

    /**
     * The request did not run.
     *
     * @param reason how it is known that the request did not run
     * @param code the error code
     */
    record NotRun(Reason reason, ErrorCode code) implements SendResult {
        public NotRun {
            Checks.notNull("reason", reason);
            Checks.notNull("code", code);
        }
    }

    /**
     * Part of the request may have been sent, and no complete response was received.
     *
     * @param code the error code
     */
    record MayHaveRun(ErrorCode code) implements SendResult {
        public MayHaveRun {
            Checks.notNull("code", code);
        }
    }

    /** How it is known that a request did not run. */
    enum Reason {
        /** The connection could not be established. */
        UNREACHABLE,
        /** The other side reported that it is busy. */
        BUSY,
        /** The other side reported that it is leaving. */
        LEAVING,
        /** The other side refused the request because of its content. */
        REFUSED,
        /** Nothing was sent, since the target may no longer be used or the team is at its limit. */
        NOT_SENT
    }
}
