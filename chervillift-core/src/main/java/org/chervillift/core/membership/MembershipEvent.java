package org.chervillift.core.membership;

import java.time.Instant;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.ListedVm;

/** What a process meets that may change its view of the others. */
public sealed interface MembershipEvent {

    /** It is time for heartbeats. */
    record Tick() implements MembershipEvent {}

    /**
     * The platform's list was read.
     *
     * @param vms the list
     * @param startedAt when the read began
     */
    record ListRead(List<ListedVm> vms, Instant startedAt) implements MembershipEvent {
        public ListRead {
            vms = List.copyOf(vms);
            Checks.notNull("startedAt", startedAt);
        }
    }

    /**
     * A peer has proved itself on a link.
     *
     * @param node the peer
     */
    record LinkUp(NodeIdentity node) implements MembershipEvent {
        public LinkUp {
            Checks.notNull("node", node);
        }
    }

    /**
     * No link is left to one life of a peer.
     *
     * @param id the peer
     * @param incarnation its life
     */
    record LinkDown(String id, long incarnation) implements MembershipEvent {
        public LinkDown {
            Checks.notBlank("id", id);
        }
    }

    /**
     * A heartbeat came.
     *
     * @param id the peer
     * @param incarnation its life
     * @param heartbeat what it said
     */
    record HeartbeatReceived(String id, long incarnation, Heartbeat heartbeat)
            implements MembershipEvent {
        public HeartbeatReceived {
            Checks.notBlank("id", id);
            Checks.notNull("heartbeat", heartbeat);
        }
    }

    /**
     * A peer knows a later life of this node.
     *
     * @param known its incarnation
     */
    record StaleIncarnation(long known) implements MembershipEvent {}

    /**
     * The store answered a read of the versions in force.
     *
     * @param inForce the versions
     * @param startedAt when the read began
     */
    record StoreRead(Versions inForce, Instant startedAt) implements MembershipEvent {
        public StoreRead {
            Checks.notNull("inForce", inForce);
            Checks.notNull("startedAt", startedAt);
        }
    }

    /**
     * This process holds content of a version.
     *
     * @param kind what it holds
     * @param version its version
     */
    record ContentAdopted(ContentKind kind, long version) implements MembershipEvent {
        public ContentAdopted {
            Checks.notNull("kind", kind);
            Checks.notNegative("version", version);
        }
    }

    /**
     * A fetch brought nothing newer.
     *
     * @param kind what was fetched
     */
    record FetchFailed(ContentKind kind) implements MembershipEvent {
        public FetchFailed {
            Checks.notNull("kind", kind);
        }
    }

    /**
     * The loads of this process have changed.
     *
     * @param loads requests running by upstream
     */
    record LoadsChanged(List<UpstreamLoad> loads) implements MembershipEvent {
        public LoadsChanged {
            loads = List.copyOf(loads);
        }
    }

    /** This process begins to stop. */
    record ShutdownStarted() implements MembershipEvent {}
}
