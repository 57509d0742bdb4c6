package org.chervillift.standin.upstream;

import org.chervillift.api.Checks;

/**
 * What is wrong with the upstream now.
 *
 * @param silent takes requests and never answers
 * @param failAll answers 500 at once, without running anything
 * @param cutAnswers runs the request, sends half of the answer and closes the connection
 * @param lateMillis waits so long after the run before it answers
 */
public record UpstreamFaults(boolean silent, boolean failAll, boolean cutAnswers, long lateMillis) {

    /** Nothing is wrong. */
    public static final UpstreamFaults NONE = new UpstreamFaults(false, false, false, 0);

    public UpstreamFaults {
        Checks.notNegative("lateMillis", lateMillis);
    }
}
