package org.chervillift.core.membership;

import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * What this process knows of another one. All instants are by the clock of this process.
 *
 * @param node the node; incarnation 0 while it is known from the list only
 * @param knownAt when this incarnation became known to this process
 * @param state whether it is believed to be running
 * @param since when it entered that state
 * @param heardAt the latest time at which it was certainly running, if any is known
 * @param route how this process gets news of it
 * @param listing what the latest list says of it
 * @param saidLeaving whether it has announced its shutdown
 * @param versions the versions that it holds, as far as known
 * @param receipt its latest heartbeat, if one was received in this incarnation
 */
public record Member(
        NodeIdentity node,
        Instant knownAt,
        MemberState state,
        Instant since,
        Optional<Instant> heardAt,
        HeardVia route,
        Listing listing,
        boolean saidLeaving,
        Versions versions,
        Optional<HeartbeatReceipt> receipt) {

    public Member {
        Checks.notNull("node", node);
        Checks.notNull("knownAt", knownAt);
        Checks.notNull("state", state);
        Checks.notNull("since", since);
        Checks.notNull("heardAt", heardAt);
        Checks.notNull("route", route);
        Checks.notNull("listing", listing);
        Checks.notNull("versions", versions);
        Checks.notNull("receipt", receipt);
    }

    /**
     * The receipt of a heartbeat.
     *
     * @param sequence the sequence number of the heartbeat
     * @param at when it was received
     */
    public record HeartbeatReceipt(long sequence, Instant at) {
        public HeartbeatReceipt {
            Checks.notNull("at", at);
        }
    }

    /** Returns a member of which only the identity is known. */
    public static Member unheard(NodeIdentity node, Listing listing, Instant now) {
        return new Member(
                node,
                now,
                MemberState.SUSPECTED,
                now,
                Optional.empty(),
                HeardVia.NONE,
                listing,
                false,
                Versions.NONE,
                Optional.empty());
    }

    /** Returns the identifier of its VM. */
    public String id() {
        return node.id();
    }

    /** Returns whether there is a link to it. */
    public boolean isLinked() {
        return route == HeardVia.DIRECT_LINK;
    }

    /** Returns whether it may be running and stays, so that links to it may be planned. */
    public boolean isAliveOrSuspected() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECTED;
    }

    /** Returns the same member with another identity. */
    public Member withNode(NodeIdentity other) {
        return new Member(
                other,
                knownAt,
                state,
                since,
                heardAt,
                route,
                listing,
                saidLeaving,
                versions,
                receipt);
    }

    /** Returns the same member in another state. */
    public Member withState(MemberState other, Instant now) {
        return new Member(
                node, knownAt, other, now, heardAt, route, listing, saidLeaving, versions, receipt);
    }

    /** Returns the same member with another listing. */
    public Member withListing(Listing other) {
        return new Member(
                node, knownAt, state, since, heardAt, route, other, saidLeaving, versions, receipt);
    }

    /** Returns the same member with another route. */
    public Member withRoute(HeardVia other) {
        return new Member(
                node,
                knownAt,
                state,
                since,
                heardAt,
                other,
                listing,
                saidLeaving,
                versions,
                receipt);
    }

    /** Returns the same member, heard at the given time unless it was heard later already. */
    public Member withHeardAt(Instant at) {
        Instant latest = heardAt.filter(h -> h.isAfter(at)).orElse(at);
        return new Member(
                node,
                knownAt,
                state,
                since,
                Optional.of(latest),
                route,
                listing,
                saidLeaving,
                versions,
                receipt);
    }

    /** Returns the same member with the higher of its versions and the given ones. */
    public Member withVersionsAtLeast(Versions reported) {
        Versions highest = versions.max(reported);
        return new Member(
                node,
                knownAt,
                state,
                since,
                heardAt,
                route,
                listing,
                saidLeaving,
                highest,
                receipt);
    }

    /** Returns the same member after the receipt of a heartbeat. */
    public Member withHeartbeat(Heartbeat heartbeat, Instant now) {
        return new Member(
                node,
                knownAt,
                state,
                since,
                heardAt,
                route,
                listing,
                heartbeat.leaving(),
                versions.max(heartbeat.versions()),
                Optional.of(new HeartbeatReceipt(heartbeat.sequence(), now)));
    }

    /** Returns the same member with an announced shutdown. */
    public Member withSaidLeaving() {
        return new Member(
                node, knownAt, state, since, heardAt, route, listing, true, versions, receipt);
    }
}
