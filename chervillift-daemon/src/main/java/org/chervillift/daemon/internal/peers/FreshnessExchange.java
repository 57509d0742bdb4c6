package org.chervillift.daemon.internal.peers;

import java.time.Instant;
import org.chervillift.api.config.PeerFreshness;

/** Exchanges with peers how long each process's keys stay fresh. */
public interface FreshnessExchange {

    /**
     * Returns the key freshness to send to a peer.
     *
     * @param echoReceivedAt when this process received the heartbeat that the message echoes
     */
    PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now);

    /**
     * Records the key freshness that a peer sent.
     *
     * @param peer the identifier of the peer
     * @param received the key freshness that the peer sent
     * @param echoSentAt when this process sent the heartbeat that the peer echoed
     */
    void freshnessReceived(String peer, PeerFreshness received, Instant echoSentAt);
}
