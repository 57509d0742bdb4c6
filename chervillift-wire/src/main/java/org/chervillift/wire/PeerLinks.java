package org.chervillift.wire;

import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.generated.PeerMessage;
import org.chervillift.wire.internal.NettyPeerLinks;

/**
 * Links to other daemons, each proved by both sides.
 *
 * <p>Any thread may call. A link is advice that a peer can be reached: a message that was accepted
 * may still be lost, and none is ever sent again.
 */
public interface PeerLinks {

    /**
     * Listens for peers.
     *
     * @param self this process
     * @param listen where to listen; port 0 takes any free one
     * @param secret the secret that peers must know
     * @param seed seed of the jitter
     * @param executor runs the callbacks of the listener, one at a time and in order
     */
    static CompletionStage<PeerLinks> open(
            PeerIdentity self,
            HostPort listen,
            SharedSecret secret,
            LinkSettings settings,
            long seed,
            Executor executor,
            PeerListener listener) {
        return NettyPeerLinks.open(self, listen, secret, settings, seed, executor, listener);
    }

    /** Returns where this process listens. */
    HostPort listenAddress();

    /** Keeps a link to each of these addresses, and closes those dialled to others. */
    void dial(Set<HostPort> wanted);

    /** Sends to one peer; returns false if there is no link to it. */
    boolean send(String peerId, PeerMessage message, Delivery delivery);

    /** Sends to all linked peers; returns how many there were. */
    int broadcast(PeerMessage message, Delivery delivery);

    /** Returns the peers that are linked now. */
    Set<PeerIdentity> linked();

    /** Returns what the links have done so far. */
    LinkCounters counters();

    /** Closes all links and stops listening. */
    CompletionStage<Void> stop();
}
