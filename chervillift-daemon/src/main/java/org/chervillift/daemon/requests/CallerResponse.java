package org.chervillift.daemon.requests;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;

/** The one answer to a caller. */
public sealed interface CallerResponse {

    /**
     * The whole answer of an upstream.
     *
     * @param reply the answer
     */
    record FromUpstream(UpstreamResponse reply) implements CallerResponse {
        public FromUpstream {
            Checks.notNull("reply", reply);
        }
    }

    /**
     * An answer of this system.
     *
     * @param verdict whether the request may have run
     * @param code why there is no answer of an upstream
     * @param retryAfter when it is worth asking again, if that is known
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
        /** The call has no identifier, or needs none. */
        NOT_ASKED("not-asked"),
        /** None ran. */
        NONE_RAN("none-ran"),
        /** It is not known here whether one ran. */
        UNKNOWN("unknown");

        private final String wireName;

        EarlierCalls(String word) {
            this.wireName = word;
        }

        /** Returns the word that the caller's answer carries. */
        public String wireName() {
            return wireName;
        }
    }
}
