package org.chervillift.core.membership;

import org.chervillift.api.Checks;

/**
 * The number of requests that one process runs at an upstream; a hint only.
 *
 * @param upstreamHash the hash of the upstream's identifier
 * @param running the number of running requests
 */
public record UpstreamLoad(int upstreamHash, int running) {
    public UpstreamLoad {
        Checks.notNegative("running", running);
    }

    /** Returns the load of the upstream with the given identifier. */
    public static UpstreamLoad of(String upstream, int running) {
        return new UpstreamLoad(upstream.hashCode(), running);
    }
}
