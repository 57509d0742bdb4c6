package org.chervillift.daemon.tasks.relay;

import java.util.concurrent.CompletionStage;

/** Sends requests to other entry VMs. */
@FunctionalInterface
public interface PeerCalls {

    /**
     * Sends a request.
     *
     * @param address the address of the peer, an IP number and a port
     */
    CompletionStage<PeerReply> send(String address, RelayedRequest request);
}
