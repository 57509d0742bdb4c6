package org.chervillift.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.core.membership.internal.FailureDetector;
import org.chervillift.core.membership.internal.FetchPlanner;
import org.chervillift.core.membership.internal.LinkPlan;
import org.chervillift.core.membership.internal.SentHeartbeats;
import org.chervillift.core.membership.internal.SummarySelector;

/**
 * The view that one process has of the others. It is a hint and never authoritative.
 *
 * <p>Ages that a peer reports are counted back from the time at which this process sent the
 * heartbeat that the peer echoes. So no clock of another process is used, and a delayed message
 * makes information look older, never newer. Not thread-safe.
 */
public final class Membership {

    private static final Duration GONE_RETENTION = Duration.ofMinutes(10);

    private final MembershipSettings settings;
    private final Set<String> seeds;
    private final FailureDetector failureDetector;
    private final LinkPlan linkPlan;
    private final FetchPlanner fetchPlanner;
    private final SummarySelector summarySelector;
    private final SentHeartbeats sentHeartbeats = new SentHeartbeats();
    private final TreeMap<String, Member> members = new TreeMap<>();
    private NodeIdentity self;
    private Optional<Instant> listReadAt = Optional.empty();
    private Optional<Instant> peerStoreReadAt = Optional.empty();
    private List<UpstreamLoad> loads = List.of();
    private Set<String> dialledAddresses = Set.of();
    private boolean leaving;

    /**
     * Creates the view of a process that has not heard of any other.
     *
     * @param seeds addresses to connect to until the list or a peer provides others
     */
    public Membership(NodeIdentity self, Set<String> seeds, MembershipSettings settings) {
        this.self = Checks.notNull("self", self);
        this.seeds = Set.copyOf(seeds);
        this.settings = Checks.notNull("settings", settings);
        this.failureDetector = new FailureDetector(self.dataCentre(), settings);
        this.linkPlan = new LinkPlan(settings.linksToDataCentre());
        this.fetchPlanner = new FetchPlanner(self, settings);
        this.summarySelector = new SummarySelector(self, settings);
    }

    /** Handles an event and returns the actions to carry out. */
    public List<MembershipAction> handle(MembershipEvent event, Instant now) {
        Map<String, MemberState> before = states();
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.Tick tick -> sendHeartbeats(now, actions);
            case MembershipEvent.ListRead list -> handleListRead(list, now);
            case MembershipEvent.LinkUp up -> handleLinkUp(up.node(), now, actions);
            case MembershipEvent.LinkDown down -> handleLinkDown(down);
            case MembershipEvent.HeartbeatReceived h -> handleHeartbeat(h, now, actions);
            case MembershipEvent.StaleIncarnation stale -> raiseIncarnation(stale.known(), actions);
            case MembershipEvent.StoreRead r -> fetchPlanner.storeRead(r.inForce(), r.startedAt());
            case MembershipEvent.ContentAdopted a ->
                    fetchPlanner.contentAdopted(a.kind(), a.version());
            case MembershipEvent.FetchFailed f -> fetchPlanner.fetchFailed(f.kind());
            case MembershipEvent.LoadsChanged l -> loads = largestLoads(l.loads());
            case MembershipEvent.ShutdownStarted s -> handleShutdownStarted(now, actions);
        }
        updateStates(now);
        reportStateChanges(before, actions);
        updateDialledAddresses(actions);
        if (!(event instanceof MembershipEvent.FetchFailed)) {
            actions.addAll(fetchPlanner.dueFetches(members.values(), now));
        }
        return actions;
    }

    /** Returns the identity of this process. */
    public NodeIdentity self() {
        return self;
    }

    /** Returns the versions that this process holds. */
    public Versions held() {
        return fetchPlanner.held();
    }

    /** Returns all other known members, ordered by identifier. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** Returns the addresses to which links should be kept. */
    public Set<String> dialledAddresses() {
        return dialledAddresses;
    }

    /**
     * Returns the latest time at which this process, or one that reported to it, certainly read the
     * store.
     */
    public Optional<Instant> storeReadAt() {
        return latest(fetchPlanner.storeReadAt(), peerStoreReadAt);
    }

    private void sendHeartbeats(Instant now, List<MembershipAction> actions) {
        removeExpiredGone(now);
        long sequence = sentHeartbeats.recordNext(now);
        for (Member m : members.values()) {
            if (m.isLinked()) {
                actions.add(heartbeatTo(m, sequence, now));
            }
        }
    }

    private MembershipAction heartbeatTo(Member peer, long sequence, Instant now) {
        Optional<Duration> readAge =
                storeReadAt().map(r -> Duration.between(r, now)).filter(a -> !a.isNegative());
        Heartbeat heartbeat =
                new Heartbeat(
                        sequence,
                        peer.receipt().map(Member.HeartbeatReceipt::sequence).orElse(0L),
                        fetchPlanner.held(),
                        readAge,
                        leaving,
                        isInSameDataCentre(peer.node()) ? loads : List.of(),
                        summarySelector.select(peer, members.values(), sequence, now));
        return new MembershipAction.SendHeartbeat(
                peer.id(), heartbeat, peer.receipt().map(Member.HeartbeatReceipt::at));
    }

    private void handleListRead(MembershipEvent.ListRead list, Instant now) {
        if (listReadAt.isPresent() && !list.startedAt().isAfter(listReadAt.get())) {
            return;
        }
        listReadAt = Optional.of(list.startedAt());
        Set<String> listedIds = new HashSet<>();
        for (ListedVm vm : list.vms()) {
            boolean isPeer = vm.role() == ListedVm.Role.ENTRY && !vm.peerAddress().isBlank();
            if (isPeer && !vm.id().equals(self.id())) {
                listedIds.add(vm.id());
                updateListedMember(vm, now);
            }
        }
        members.replaceAll((id, m) -> listedIds.contains(id) ? m : m.withListing(Listing.ABSENT));
    }

    private void updateListedMember(ListedVm vm, Instant now) {
        Listing listing = vm.leaving() ? Listing.LEAVING : Listing.PRESENT;
        NodeIdentity node = new NodeIdentity(vm.id(), 0, vm.dataCentre(), vm.peerAddress());
        Member member = members.get(vm.id());
        if (member == null) {
            members.put(vm.id(), Member.unheard(node, listing, now));
            return;
        }
        boolean keepsAddress = member.isLinked() || member.state() == MemberState.ALIVE;
        NodeIdentity known = member.node();
        NodeIdentity listedNode = node.withIncarnation(known.incarnation());
        members.put(
                vm.id(), member.withListing(listing).withNode(keepsAddress ? known : listedNode));
    }

    private void handleLinkUp(NodeIdentity node, Instant now, List<MembershipAction> actions) {
        Member known = members.get(node.id());
        if (known != null && known.node().incarnation() > node.incarnation()) {
            actions.add(
                    new MembershipAction.SendStaleIncarnation(
                            node.id(), known.node().incarnation()));
            return;
        }
        markOthersAtAddressGone(node, now);
        summarySelector.forget(node.id());
        Member member = hasSameIncarnation(known, node) ? known : newIncarnation(known, node, now);
        members.put(
                node.id(), member.withNode(node).withRoute(HeardVia.DIRECT_LINK).withHeardAt(now));
        actions.add(heartbeatTo(members.get(node.id()), sentHeartbeats.recordNext(now), now));
    }

    /** Only one process can use an address, so another member that used it before is gone. */
    private void markOthersAtAddressGone(NodeIdentity node, Instant now) {
        members.replaceAll(
                (id, m) -> {
                    boolean replaced =
                            !id.equals(node.id())
                                    && m.node().address().equals(node.address())
                                    && !m.isLinked();
                    return replaced ? m.withState(MemberState.GONE, now) : m;
                });
    }

    private void handleLinkDown(MembershipEvent.LinkDown down) {
        summarySelector.forget(down.id());
        members.computeIfPresent(
                down.id(),
                (id, m) ->
                        m.node().incarnation() == down.incarnation()
                                ? m.withRoute(HeardVia.NONE)
                                : m);
    }

    private void handleHeartbeat(
            MembershipEvent.HeartbeatReceived event, Instant now, List<MembershipAction> actions) {
        Member member = members.get(event.id());
        Heartbeat heartbeat = event.heartbeat();
        boolean isCurrent =
                member != null
                        && member.isLinked()
                        && member.node().incarnation() == event.incarnation();
        if (!isCurrent || isDuplicateOrLate(member, heartbeat)) {
            return;
        }
        Optional<Instant> echoSentAt = sentHeartbeats.sentAt(heartbeat.echo());
        Member updated = member.withHeartbeat(heartbeat, now);
        members.put(event.id(), echoSentAt.map(updated::withHeardAt).orElse(updated));
        if (echoSentAt.isPresent()) {
            Instant agesFrom = echoSentAt.get();
            peerStoreReadAt = latest(peerStoreReadAt, heartbeat.readAge().map(agesFrom::minus));
            HeardVia route =
                    isInSameDataCentre(member.node())
                            ? HeardVia.SAME_DATA_CENTRE_PEER
                            : HeardVia.OTHER_DATA_CENTRE_PEER;
            heartbeat.members().forEach(s -> applySummary(s, agesFrom, route, now, actions));
        }
        actions.add(new MembershipAction.ProcessHeartbeat(event.id(), heartbeat, echoSentAt));
    }

    private static boolean isDuplicateOrLate(Member member, Heartbeat heartbeat) {
        return member.receipt().map(r -> heartbeat.sequence() <= r.sequence()).orElse(false);
    }

    private void applySummary(
            MemberSummary summary,
            Instant agesFrom,
            HeardVia route,
            Instant now,
            List<MembershipAction> actions) {
        NodeIdentity node = summary.node();
        if (node.id().equals(self.id())) {
            if (node.incarnation() > self.incarnation()) {
                raiseIncarnation(node.incarnation(), actions);
            }
            return;
        }
        Member known = members.get(node.id());
        if (known != null && known.node().incarnation() > node.incarnation()) {
            return;
        }
        Member member = hasSameIncarnation(known, node) ? known : newIncarnation(known, node, now);
        Instant heardAt = agesFrom.minus(summary.heardAge());
        boolean isNewer = member.heardAt().map(heardAt::isAfter).orElse(true);
        if (isNewer && !member.isLinked()) {
            member = member.withRoute(route);
        }
        member = member.withHeardAt(heardAt).withVersionsAtLeast(summary.versions());
        members.put(
                node.id(),
                summary.state() == MemberState.LEAVING ? member.withSaidLeaving() : member);
    }

    private void raiseIncarnation(long known, List<MembershipAction> actions) {
        if (known >= self.incarnation()) {
            self = self.withIncarnation(known + 1);
            actions.add(new MembershipAction.TakeIncarnation(self));
        }
    }

    private void handleShutdownStarted(Instant now, List<MembershipAction> actions) {
        leaving = true;
        sendHeartbeats(now, actions);
    }

    private void updateStates(Instant now) {
        members.replaceAll(
                (id, m) -> {
                    MemberState state = failureDetector.stateOf(m, listReadAt, now);
                    return state == m.state() ? m : m.withState(state, now);
                });
    }

    private void reportStateChanges(
            Map<String, MemberState> before, List<MembershipAction> actions) {
        for (Member m : members.values()) {
            MemberState old = before.get(m.id());
            if (old != m.state()) {
                actions.add(new MembershipAction.MemberChanged(m, Optional.ofNullable(old)));
            }
        }
    }

    private void updateDialledAddresses(List<MembershipAction> actions) {
        Set<String> addresses = linkPlan.addressesToDial(self, members.values());
        if (needsSeeds()) {
            addresses.addAll(seeds);
        }
        addresses.remove(self.address());
        if (!addresses.equals(dialledAddresses)) {
            dialledAddresses = Set.copyOf(addresses);
            actions.add(new MembershipAction.Dial(dialledAddresses));
        }
    }

    /** Seeds are used until the list or a peer in the same data centre provides other addresses. */
    private boolean needsSeeds() {
        return listReadAt.isEmpty()
                && members.values().stream()
                        .noneMatch(m -> m.isLinked() && isInSameDataCentre(m.node()));
    }

    private void removeExpiredGone(Instant now) {
        Instant removeBefore = now.minus(GONE_RETENTION);
        members.values()
                .removeIf(m -> m.state() == MemberState.GONE && m.since().isBefore(removeBefore));
    }

    private Map<String, MemberState> states() {
        Map<String, MemberState> states = new HashMap<>();
        members.forEach((id, m) -> states.put(id, m.state()));
        return states;
    }

    private List<UpstreamLoad> largestLoads(List<UpstreamLoad> all) {
        return all.stream()
                .sorted(Comparator.comparingInt(UpstreamLoad::running).reversed())
                .limit(settings.mostLoads())
                .toList();
    }

    private boolean isInSameDataCentre(NodeIdentity node) {
        return node.dataCentre().equals(self.dataCentre());
    }

    private static boolean hasSameIncarnation(Member known, NodeIdentity node) {
        return known != null && known.node().incarnation() == node.incarnation();
    }

    private static Member newIncarnation(Member known, NodeIdentity node, Instant now) {
        Listing listing = known == null ? Listing.ABSENT : known.listing();
        return Member.unheard(node, listing, now);
    }

    private static Optional<Instant> latest(Optional<Instant> a, Optional<Instant> b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.or(() -> b);
        }
        return a.get().isAfter(b.get()) ? a : b;
    }
}
