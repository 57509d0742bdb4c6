package org.chervillift.core.tasks.relay;

import org.chervillift.api.Checks;

/**
 * One try to relay a request to a peer.
 *
 * @param peer the peer
 * @param timeoutMillis how long to wait for its answer, in milliseconds
 * @param probe whether it tests if any peer can serve requests again
 */
public record RelayTry(RelayPeer peer, long timeoutMillis, boolean probe) {
    public RelayTry {
        Checks.notNull("peer", peer);
        Checks.that(timeoutMillis > 0, "the timeout must be positive");
    }
}
