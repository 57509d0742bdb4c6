package org.chervillift.core.membership;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;

/** What the process does next. */
public sealed interface MembershipAction {

    /**
     * Keep links to these addresses, and dial no others.
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
     * @param peer the addressee
     * @param heartbeat what to say
     * @param echoReceivedAt when the heartbeat came that it echoes, if there was one
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
     * Use what a new heartbeat says.
     *
     * @param peer the sender
     * @param heartbeat what it said
     * @param echoSentAt when this process sent the heartbeat that the peer echoed; spans of time in
     *     the heartbeat count from then
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
     * Tell a peer that a later life of it is known.
     *
     * @param peer the peer
     * @param known the incarnation of that life
     */
    record SendStaleIncarnation(String peer, long known) implements MembershipAction {
        public SendStaleIncarnation {
            Checks.notBlank("peer", peer);
        }
    }

    /**
     * Open the links anew under a higher incarnation.
     *
     * @param node this process from now on
     */
    record TakeIncarnation(NodeIdentity node) implements MembershipAction {
        public TakeIncarnation {
            Checks.notNull("node", node);
        }
    }

    /**
     * Read content from the store.
     *
     * @param kind what to read
     * @param version the version that is known to exist
     */
    record FetchFromStore(ContentKind kind, long version) implements MembershipAction {
        public FetchFromStore {
            Checks.notNull("kind", kind);
        }
    }

    /**
     * Ask a peer for content.
     *
     * @param kind what to ask for
     * @param peer whom to ask
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
     * @param member the member now
     * @param before the state before, empty for a new member
     */
    record MemberChanged(Member member, Optional<MemberState> before) implements MembershipAction {
        public MemberChanged {
            Checks.notNull("member", member);
            Checks.notNull("before", before);
        }
    }
}
