package org.chervillift.daemon.requests;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;

/** The single response to a caller's request. */
public sealed interface CallerResponse {

    /**
     * The complete response of an upstream, just received or replayed from a stored outcome.
     *
     * @param reply the response
     */
    record FromUpstream(UpstreamResponse reply) implements CallerResponse {
        public FromUpstream {
            Checks.notNull("reply", reply);
        }
    }

    /**
     * A response that this system generates in place of an upstream's.
     *
     * @param verdict whether the request may have run
     * @param code why there is no response of an upstream
     * @param retryAfter the delay after which a retry is worthwhile, if known
     * @param earlier what is known of earlier calls with the same request identifier
     */
    record Generated(
            Verdict verdict, ErrorCode code, Optional<Duration> retryAfter, EarlierCalls earlier)
            implements CallerResponse {
        public Generated {
            Checks.notNull("verdict", verdict);
            Checks.notNull("code", code);
            Checks.notNull("retryAfter", retryAfter);
            Checks.notNull("earlier", earlier);
        }
    }

    /** What is known of earlier calls with the same request identifier. */
    enum EarlierCalls {
        /** Earlier calls were not looked up: the call has no identifier, or needs none. */
        NOT_ASKED("not-asked"),
        /** No earlier call ran. */
        NONE_RAN("none-ran"),
        /** This entry VM does not know whether an earlier call ran. */
        UNKNOWN("unknown");

        private final String wireName;

        EarlierCalls(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the value that the caller's response carries. */
        public String wireName() {
            return wireName;
        }
    }
}
