package org.chervillift.daemon.internal;

import org.chervillift.api.Checks;
import org.chervillift.api.Verdict;

/** How one try at an upstream ended. */
public sealed interface UpstreamResult {

    /**
     * The whole answer came.
     *
     * @param status the HTTP status
     * @param contentType the type of the body, or blank
     * @param body the whole body
     */
    record Answered(int status, String contentType, byte[] body) implements UpstreamResult {
        public Answered {
            Checks.notNull("contentType", contentType);
            body = body.clone();
        }

        @Override
        public byte[] body() {
            return body.clone();
        }
    }

    /**
     * No whole answer came.
     *
     * @param verdict whether the request may have run
     */
    record Failed(Verdict verdict) implements UpstreamResult {
        public Failed {
            Checks.notNull("verdict", verdict);
        }
    }
}
