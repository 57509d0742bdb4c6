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
import org.chervillift.core.membership.internal.Fetching;
import org.chervillift.core.membership.internal.LinkPlan;
import org.chervillift.core.membership.internal.Liveness;
import org.chervillift.core.membership.internal.SentHeartbeats;
import org.chervillift.core.membership.internal.SummaryChooser;

/**
 * The view that one process has of the others; advice, never the truth of record.
 *
 * <p>Ages that a peer tells count from the moment at which this process sent the heartbeat that the
 * peer echoes. So no clock of another process is read, and a message that was delayed makes things
 * look older, never newer. The class is for one thread.
 */
public final class Membership {

    private static final Duration FORGET_AFTER = Duration.ofMinutes(10);

    private final MembershipSettings settings;
    private final Set<String> seeds;
    private final Liveness liveness;
    private final LinkPlan plan;
    private final Fetching fetching;
    private final SummaryChooser summaries;
    private final SentHeartbeats sent = new SentHeartbeats();
    private final TreeMap<String, Member> members = new TreeMap<>();
    private NodeIdentity self;
    private Optional<Instant> listReadAt = Optional.empty();
    private Optional<Instant> passedOnReadAt = Optional.empty();
    private List<UpstreamLoad> loads = List.of();
    private Set<String> dialled = Set.of();
    private boolean leaving;

    /**
     * Creates the view of a process that has heard nobody.
     *
     * @param seeds addresses to dial until the list or a peer has named the others
     */
    public Membership(NodeIdentity self, Set<String> seeds, MembershipSettings settings) {
        this.self = Checks.notNull("self", self);
        this.seeds = Set.copyOf(seeds);
        this.settings = Checks.notNull("settings", settings);
        this.liveness = new Liveness(self.dataCentre(), settings);
        this.plan = new LinkPlan(settings.linksToDataCentre());
        this.fetching = new Fetching(self, settings);
        this.summaries = new SummaryChooser(self, settings);
    }

    /** Takes an event and returns what to do about it. */
    public List<MembershipAction> on(MembershipEvent event, Instant now) {
        Map<String, MemberState> before = states();
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.Tick tick -> beat(now, actions);
            case MembershipEvent.ListRead list -> listRead(list, now);
            case MembershipEvent.LinkUp up -> linkUp(up.node(), now, actions);
            case MembershipEvent.LinkDown down -> linkDown(down);
            case MembershipEvent.HeartbeatReceived h -> received(h, now, actions);
            case MembershipEvent.StaleIncarnation stale -> takeIncarnation(stale.known(), actions);
            case MembershipEvent.StoreRead r -> fetching.storeRead(r.inForce(), r.startedAt());
            case MembershipEvent.Adopted a -> fetching.adopted(a.kind(), a.version());
            case MembershipEvent.FetchFailed f -> fetching.failed(f.kind());
            case MembershipEvent.LoadsChanged l -> loads = largest(l.loads());
            case MembershipEvent.LeaveBegun l -> leave(now, actions);
        }
        judgeAll(now);
        tellChanges(before, actions);
        dial(actions);
        if (!(event instanceof MembershipEvent.FetchFailed)) {
            actions.addAll(fetching.due(members.values(), now));
        }
        return actions;
    }

    /** Returns this process. */
    public NodeIdentity self() {
        return self;
    }

    /** Returns what this process holds. */
    public Versions held() {
        return fetching.held();
    }

    /** Returns all other members that are known, ordered by identifier. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** Returns the addresses to which links are to be kept. */
    public Set<String> dialled() {
        return dialled;
    }

    /** Returns when this process, or a peer that it hears, certainly read the store. */
    public Optional<Instant> storeReadAt() {
        return latest(fetching.storeReadAt(), passedOnReadAt);
    }

    private void beat(Instant now, List<MembershipAction> actions) {
        forgetOld(now);
        long sequence = sent.next(now);
        for (Member m : members.values()) {
            if (m.linked()) {
                actions.add(heartbeat(m, sequence, now));
            }
        }
    }

    private MembershipAction heartbeat(Member peer, long sequence, Instant now) {
        Optional<Duration> readAge =
                storeReadAt().map(r -> Duration.between(r, now)).filter(a -> !a.isNegative());
        Heartbeat heartbeat =
                new Heartbeat(
                        sequence,
                        peer.receipt().map(Member.Receipt::sequence).orElse(0L),
                        fetching.held(),
                        readAge,
                        leaving,
                        near(peer.node()) ? loads : List.of(),
                        summaries.choose(peer, members.values(), sequence, now));
        return new MembershipAction.SendHeartbeat(
                peer.id(), heartbeat, peer.receipt().map(Member.Receipt::at));
    }

    private void listRead(MembershipEvent.ListRead list, Instant now) {
        if (listReadAt.isPresent() && !list.startedAt().isAfter(listReadAt.get())) {
            return;
        }
        listReadAt = Optional.of(list.startedAt());
        Set<String> shown = new HashSet<>();
        for (ListedVm vm : list.vms()) {
            boolean peer = vm.role() == ListedVm.Role.ENTRY && !vm.peerAddress().isBlank();
            if (peer && !vm.id().equals(self.id())) {
                shown.add(vm.id());
                listed(vm, now);
            }
        }
        members.replaceAll((id, m) -> shown.contains(id) ? m : m.withListing(Listing.ABSENT));
    }

    private void listed(ListedVm vm, Instant now) {
        Listing listing = vm.leaving() ? Listing.LEAVING : Listing.PRESENT;
        NodeIdentity node = new NodeIdentity(vm.id(), 0, vm.dataCentre(), vm.peerAddress());
        Member member = members.get(vm.id());
        if (member == null) {
            members.put(vm.id(), Member.named(node, listing, now));
            return;
        }
        boolean heard = member.linked() || member.state() == MemberState.ALIVE;
        NodeIdentity known = member.node();
        NodeIdentity moved = node.withIncarnation(known.incarnation());
        members.put(vm.id(), member.withListing(listing).withNode(heard ? known : moved));
    }

    private void linkUp(NodeIdentity node, Instant now, List<MembershipAction> actions) {
        Member known = members.get(node.id());
        if (known != null && known.node().incarnation() > node.incarnation()) {
            actions.add(
                    new MembershipAction.TellStaleIncarnation(
                            node.id(), known.node().incarnation()));
            return;
        }
        replaceOthersAt(node, now);
        summaries.forget(node.id());
        Member member = sameLife(known, node) ? known : newLife(known, node, now);
        members.put(node.id(), member.withNode(node).withRoute(Route.LINKED).heard(now));
        actions.add(heartbeat(members.get(node.id()), sent.next(now), now));
    }

    /** An address has one holder, so another member that had it before is gone. */
    private void replaceOthersAt(NodeIdentity node, Instant now) {
        members.replaceAll(
                (id, m) -> {
                    boolean replaced =
                            !id.equals(node.id())
                                    && m.node().address().equals(node.address())
                                    && !m.linked();
                    return replaced ? m.withState(MemberState.GONE, now) : m;
                });
    }

    private void linkDown(MembershipEvent.LinkDown down) {
        summaries.forget(down.id());
        members.computeIfPresent(
                down.id(),
                (id, m) ->
                        m.node().incarnation() == down.incarnation() ? m.withRoute(Route.NONE) : m);
    }

    private void received(
            MembershipEvent.HeartbeatReceived event, Instant now, List<MembershipAction> actions) {
        Member member = members.get(event.id());
        Heartbeat heartbeat = event.heartbeat();
        boolean current =
                member != null
                        && member.linked()
                        && member.node().incarnation() == event.incarnation();
        if (!current || isLate(member, heartbeat)) {
            return;
        }
        Optional<Instant> echoSentAt = sent.sentAt(heartbeat.echo());
        Member updated = member.received(heartbeat, now);
        members.put(event.id(), echoSentAt.map(updated::heard).orElse(updated));
        if (echoSentAt.isPresent()) {
            Instant base = echoSentAt.get();
            passedOnReadAt = latest(passedOnReadAt, heartbeat.readAge().map(base::minus));
            Route route = near(member.node()) ? Route.TOLD_INSIDE : Route.TOLD_ACROSS;
            heartbeat.members().forEach(s -> told(s, base, route, now, actions));
        }
        actions.add(new MembershipAction.UseHeartbeat(event.id(), heartbeat, echoSentAt));
    }

    private static boolean isLate(Member member, Heartbeat heartbeat) {
        return member.receipt().map(r -> heartbeat.sequence() <= r.sequence()).orElse(false);
    }

    private void told(
            MemberSummary summary,
            Instant base,
            Route route,
            Instant now,
            List<MembershipAction> actions) {
        NodeIdentity node = summary.node();
        if (node.id().equals(self.id())) {
            if (node.incarnation() > self.incarnation()) {
                takeIncarnation(node.incarnation(), actions);
            }
            return;
        }
        Member known = members.get(node.id());
        if (known != null && known.node().incarnation() > node.incarnation()) {
            return;
        }
        Member member = sameLife(known, node) ? known : newLife(known, node, now);
        Instant heardAt = base.minus(summary.heardAge());
        boolean later = member.heardAt().map(heardAt::isAfter).orElse(true);
        if (later && !member.linked()) {
            member = member.withRoute(route);
        }
        member = member.heard(heardAt).holding(summary.versions());
        members.put(node.id(), summary.state() == MemberState.LEAVING ? member.leaving() : member);
    }

    private void takeIncarnation(long known, List<MembershipAction> actions) {
        if (known >= self.incarnation()) {
            self = self.withIncarnation(known + 1);
            actions.add(new MembershipAction.TakeIncarnation(self));
        }
    }

    private void leave(Instant now, List<MembershipAction> actions) {
        leaving = true;
        beat(now, actions);
    }

    private void judgeAll(Instant now) {
        members.replaceAll(
                (id, m) -> {
                    MemberState state = liveness.judge(m, listReadAt, now);
                    return state == m.state() ? m : m.withState(state, now);
                });
    }

    private void tellChanges(Map<String, MemberState> before, List<MembershipAction> actions) {
        for (Member m : members.values()) {
            MemberState old = before.get(m.id());
            if (old != m.state()) {
                actions.add(new MembershipAction.MemberChanged(m, Optional.ofNullable(old)));
            }
        }
    }

    private void dial(List<MembershipAction> actions) {
        Set<String> wanted = plan.wanted(self, members.values());
        if (needsSeeds()) {
            wanted.addAll(seeds);
        }
        wanted.remove(self.address());
        if (!wanted.equals(dialled)) {
            dialled = Set.copyOf(wanted);
            actions.add(new MembershipAction.Dial(dialled));
        }
    }

    /** Seeds bridge the time until the list or a peer of the own data centre names the others. */
    private boolean needsSeeds() {
        return listReadAt.isEmpty()
                && members.values().stream().noneMatch(m -> m.linked() && near(m.node()));
    }

    private void forgetOld(Instant now) {
        Instant bound = now.minus(FORGET_AFTER);
        members.values().removeIf(m -> m.state() == MemberState.GONE && m.since().isBefore(bound));
    }

    private Map<String, MemberState> states() {
        Map<String, MemberState> states = new HashMap<>();
        members.forEach((id, m) -> states.put(id, m.state()));
        return states;
    }

    private List<UpstreamLoad> largest(List<UpstreamLoad> all) {
        return all.stream()
                .sorted(Comparator.comparingInt(UpstreamLoad::running).reversed())
                .limit(settings.mostLoads())
                .toList();
    }

    private boolean near(NodeIdentity node) {
        return node.dataCentre().equals(self.dataCentre());
    }

    private static boolean sameLife(Member known, NodeIdentity node) {
        return known != null && known.node().incarnation() == node.incarnation();
    }

    private static Member newLife(Member known, NodeIdentity node, Instant now) {
        Listing listing = known == null ? Listing.ABSENT : known.listing();
        return Member.named(node, listing, now);
    }

    private static Optional<Instant> latest(Optional<Instant> a, Optional<Instant> b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.or(() -> b);
        }
        return a.get().isAfter(b.get()) ? a : b;
    }
}
