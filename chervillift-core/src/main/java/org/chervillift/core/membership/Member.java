package org.chervillift.core.membership;

import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * What this process knows of another one. Instants are of the clock of this process.
 *
 * @param node the node; incarnation 0 while only the list has shown it
 * @param knownAt when this life of it became known to this process
 * @param state what is known of its life
 * @param since when it came into that state
 * @param heardAt the latest moment at which it certainly lived, if any is known
 * @param route how it is heard of
 * @param listing what the latest list says
 * @param saidLeaving whether it said itself that it stops
 * @param versions what it holds, as far as is known
 * @param receipt its latest heartbeat, if one came in this life
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
     * A heartbeat that came.
     *
     * @param sequence its sequence
     * @param at when it came
     */
    public record HeartbeatReceipt(long sequence, Instant at) {
        public HeartbeatReceipt {
            Checks.notNull("at", at);
        }
    }

    /** Returns a member of which nothing but its name is known. */
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

    /** Returns the identifier. */
    public String id() {
        return node.id();
    }

    /** Returns whether there is a link to it. */
    public boolean isLinked() {
        return route == HeardVia.DIRECT_LINK;
    }

    /** Returns whether links may count on it. */
    public boolean isAliveOrSuspected() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECTED;
    }

    /** Returns the same member under another address or life. */
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

    /** Returns the same member with what another list says. */
    public Member withListing(Listing other) {
        return new Member(
                node, knownAt, state, since, heardAt, route, other, saidLeaving, versions, receipt);
    }

    /** Returns the same member, heard of in another way. */
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

    /** Returns the same member, heard at a moment unless it was heard later. */
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

    /** Returns the same member that holds at least these versions. */
    public Member withVersionsAtLeast(Versions told) {
        Versions highest = versions.max(told);
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

    /** Returns the same member after a heartbeat. */
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

    /** Returns the same member, which is said to leave. */
    public Member withSaidLeaving() {
        return new Member(
                node, knownAt, state, since, heardAt, route, listing, true, versions, receipt);
    }
}
