package org.chervillift.core.membership;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;

/** An action that {@link Membership} asks the process to carry out. */
public sealed interface MembershipAction {

    /**
     * Keep links to exactly these addresses, and connect to those without a link.
     *
     * @param addresses the addresses
     */
    record Dial(Set<String> addresses) implements MembershipAction {
        public Dial {
            addresses = Set.copyOf(addresses);
        }
    }

    /**
     * Send a heartbeat.
     *
     * @param peer the recipient
     * @param heartbeat the heartbeat to send
     * @param echoReceivedAt when the heartbeat that it echoes was received, if there was one
     */
    record SendHeartbeat(String peer, Heartbeat heartbeat, Optional<Instant> echoReceivedAt)
            implements MembershipAction {
        public SendHeartbeat {
            Checks.notBlank("peer", peer);
            Checks.notNull("heartbeat", heartbeat);
            Checks.notNull("echoReceivedAt", echoReceivedAt);
        }
    }

    /**
     * Process the content of a new heartbeat.
     *
     * @param peer the sender
     * @param heartbeat the heartbeat
     * @param echoSentAt when this process sent the heartbeat that the peer echoed; ages in the
     *     heartbeat count back from then
     */
    record ProcessHeartbeat(String peer, Heartbeat heartbeat, Optional<Instant> echoSentAt)
            implements MembershipAction {
        public ProcessHeartbeat {
            Checks.notBlank("peer", peer);
            Checks.notNull("heartbeat", heartbeat);
            Checks.notNull("echoSentAt", echoSentAt);
        }
    }

    /**
     * Tell a peer that a later incarnation of it is known.
     *
     * @param peer the peer
     * @param known that incarnation
     */
    record SendStaleIncarnation(String peer, long known) implements MembershipAction {
        public SendStaleIncarnation {
            Checks.notBlank("peer", peer);
        }
    }

    /**
     * Reopen all links under a higher incarnation.
     *
     * @param node the new identity of this process
     */
    record TakeIncarnation(NodeIdentity node) implements MembershipAction {
        public TakeIncarnation {
            Checks.notNull("node", node);
        }
    }

    /**
     * Read content from the store.
     *
     * @param kind the kind of content
     * @param version the version that is known to exist
     */
    record FetchFromStore(ContentKind kind, long version) implements MembershipAction {
        public FetchFromStore {
            Checks.notNull("kind", kind);
        }
    }

    /**
     * Fetch content from a peer.
     *
     * @param kind the kind of content
     * @param peer the peer to ask
     * @param aboveVersion the version that this process holds
     */
    record FetchFromPeer(ContentKind kind, String peer, long aboveVersion)
            implements MembershipAction {
        public FetchFromPeer {
            Checks.notNull("kind", kind);
            Checks.notBlank("peer", peer);
        }
    }

    /**
     * A member's state has changed.
     *
     * @param member the member in its new state
     * @param before the previous state, empty for a new member
     */
    record MemberChanged(Member member, Optional<MemberState> before) implements MembershipAction {
        public MemberChanged {
            Checks.notNull("member", member);
            Checks.notNull("before", before);
        }
    }
}
