package org.chervillift.daemon.internal.peers;

import java.time.Instant;
import org.chervillift.api.config.PeerFreshness;

/** What processes tell each other about the freshness of their keys. */
public interface FreshnessExchange {

    /**
     * Returns what a peer is to be told.
     *
     * @param echoReceivedAt when this process received the heartbeat that it echoes
     */
    PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now);

    /**
     * Takes what a peer has told.
     *
     * @param echoSentAt when this process sent the heartbeat that the peer echoed
     */
    void freshnessReceived(String peer, PeerFreshness told, Instant echoSentAt);
}
