package org.chervillift.core.membership;

import java.time.Instant;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.ListedVm;

/** An event that {@link Membership} handles. */
public sealed interface MembershipEvent {

    /** The heartbeat timer fired. */
    record Tick() implements MembershipEvent {}

    /**
     * The platform's list was read.
     *
     * @param vms the listed VMs
     * @param startedAt when the read began
     */
    record ListRead(List<ListedVm> vms, Instant startedAt) implements MembershipEvent {
        public ListRead {
            vms = List.copyOf(vms);
            Checks.notNull("startedAt", startedAt);
        }
    }

    /**
     * A peer has authenticated itself on a link.
     *
     * @param node the peer
     */
    record LinkUp(NodeIdentity node) implements MembershipEvent {
        public LinkUp {
            Checks.notNull("node", node);
        }
    }

    /**
     * The last link to an incarnation of a peer was closed.
     *
     * @param id the peer
     * @param incarnation the incarnation of the peer
     */
    record LinkDown(String id, long incarnation) implements MembershipEvent {
        public LinkDown {
            Checks.notBlank("id", id);
        }
    }

    /**
     * A heartbeat was received.
     *
     * @param id the peer
     * @param incarnation the incarnation of the peer
     * @param heartbeat the heartbeat
     */
    record HeartbeatReceived(String id, long incarnation, Heartbeat heartbeat)
            implements MembershipEvent {
        public HeartbeatReceived {
            Checks.notBlank("id", id);
            Checks.notNull("heartbeat", heartbeat);
        }
    }

    /**
     * A peer knows a later incarnation of this node.
     *
     * @param known that incarnation
     */
    record StaleIncarnation(long known) implements MembershipEvent {}

    /**
     * The store answered a read of the current versions.
     *
     * @param inForce the current versions
     * @param startedAt when the read began
     */
    record StoreRead(Versions inForce, Instant startedAt) implements MembershipEvent {
        public StoreRead {
            Checks.notNull("inForce", inForce);
            Checks.notNull("startedAt", startedAt);
        }
    }

    /**
     * This process adopted a version of content.
     *
     * @param kind the kind of content
     * @param version the adopted version
     */
    record ContentAdopted(ContentKind kind, long version) implements MembershipEvent {
        public ContentAdopted {
            Checks.notNull("kind", kind);
            Checks.notNegative("version", version);
        }
    }

    /**
     * A fetch failed or returned nothing newer.
     *
     * @param kind the kind of content
     */
    record FetchFailed(ContentKind kind) implements MembershipEvent {
        public FetchFailed {
            Checks.notNull("kind", kind);
        }
    }

    /**
     * The upstream loads of this process have changed.
     *
     * @param loads the running requests of this process by upstream
     */
    record LoadsChanged(List<UpstreamLoad> loads) implements MembershipEvent {
        public LoadsChanged {
            loads = List.copyOf(loads);
        }
    }

    /** This process has started to shut down. */
    record ShutdownStarted() implements MembershipEvent {}
}
