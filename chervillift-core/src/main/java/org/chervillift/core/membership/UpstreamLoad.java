package org.chervillift.core.membership;

import org.chervillift.api.Checks;

/**
 * Requests of one process that run at an upstream; advice only.
 *
 * @param upstreamHash the hash of the upstream's identifier
 * @param running how many run
 */
public record UpstreamLoad(int upstreamHash, int running) {
    public UpstreamLoad {
        Checks.notNegative("running", running);
    }

    /** Returns the load of an upstream. */
    public static UpstreamLoad of(String upstream, int running) {
        return new UpstreamLoad(upstream.hashCode(), running);
    }
}
