package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Heartbeat;
import org.chervillift.core.membership.Membership;
import org.chervillift.core.membership.MembershipAction;
import org.chervillift.core.membership.MembershipEvent;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.UpstreamLoad;
import org.chervillift.core.membership.Versions;
import org.chervillift.daemon.internal.peers.HeartbeatCodec;
import org.chervillift.runtime.supervision.ManualScheduler;

/** One life of a process that runs the real decisions over the virtual network and store. */
public final class VirtualNode {

    /** Length, tag, and the headers of IP and TCP with time stamps, of one frame. */
    static final int FRAME_OVERHEAD_BYTES = 20 + 52;

    private static final int LOADED_UPSTREAMS = 200;
    private static final PeerFreshness FRESHNESS = TypicalFreshness.create();

    private final VirtualFleet fleet;
    private final ManualScheduler scheduler;
    private final RandomGenerator random;
    private final Membership membership;
    private final Map<String, VirtualNetwork.Link> links = new TreeMap<>();
    private final Set<String> dialling = new TreeSet<>();
    private Set<String> wanted = Set.of();
    private Versions held = Versions.NONE;
    private boolean up = true;
    private long bytes;

    VirtualNode(
            VirtualFleet fleet, NodeIdentity identity, Set<String> seeds, RandomGenerator random) {
        this.fleet = fleet;
        this.scheduler = fleet.scheduler();
        this.random = random;
        this.membership = new Membership(identity, seeds, MembershipSettings.DEFAULT);
    }

    /** Returns this life. */
    public NodeIdentity identity() {
        return membership.self();
    }

    /** Returns its view of the others. */
    public Membership membership() {
        return membership;
    }

    /** Returns the versions that it holds. */
    public Versions held() {
        return held;
    }

    /** Returns bytes sent and received, with headers. */
    public long bytes() {
        return bytes;
    }

    boolean isUp() {
        return up;
    }

    Map<String, VirtualNetwork.Link> links() {
        return links;
    }

    boolean wants(String address) {
        return wanted.contains(address);
    }

    boolean isLinkedTo(VirtualNode other) {
        VirtualNetwork.Link link = links.get(other.identity().id());
        return link != null && link.other(this) == other;
    }

    void dialled(String address) {
        dialling.remove(address);
    }

    void start() {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (int i = 0; i < LOADED_UPSTREAMS; i++) {
            loads.add(UpstreamLoad.of("worker-" + i, i));
        }
        on(new MembershipEvent.LoadsChanged(loads));
        scheduler.schedule(jittered(Duration.ofSeconds(1), 0, 1), this::beat);
        scheduler.schedule(jittered(Duration.ofSeconds(1), 0, 1), this::poll);
    }

    void stop() {
        up = false;
        for (VirtualNetwork.Link link : List.copyOf(links.values())) {
            fleet.network().close(this, link);
        }
    }

    void linkUp(VirtualNetwork.Link link) {
        VirtualNode peer = link.other(this);
        links.put(peer.identity().id(), link);
        dialling.remove(peer.identity().address());
        on(new MembershipEvent.LinkUp(peer.identity()));
    }

    void linkDown(VirtualNetwork.Link link) {
        VirtualNode peer = link.other(this);
        if (!links.remove(peer.identity().id(), link) || !up) {
            return;
        }
        on(new MembershipEvent.LinkDown(peer.identity().id(), peer.identity().incarnation()));
        if (wants(peer.identity().address())) {
            dial(peer.identity().address());
        }
    }

    private void beat() {
        if (up) {
            fleet.network().closeSilent(this);
            on(new MembershipEvent.Tick());
            scheduler.schedule(jittered(Duration.ofSeconds(1), 0.9, 1.1), this::beat);
        }
    }

    private void poll() {
        if (up) {
            readStore();
            scheduler.schedule(jittered(Duration.ofSeconds(1), 0.9, 1.1), this::poll);
        }
    }

    private boolean readStore() {
        if (!fleet.store().answers(identity().dataCentre())) {
            return false;
        }
        Instant startedAt = scheduler.now();
        scheduler.schedule(
                Duration.ofMillis(random.nextInt(1, 20)), () -> storeAnswered(startedAt));
        return true;
    }

    private void storeAnswered(Instant startedAt) {
        if (!up) {
            return;
        }
        fleet.storeWasReadAt(startedAt);
        Versions inForce = fleet.store().inForce();
        adopt(ContentKind.CONFIG, inForce.config());
        adopt(ContentKind.KEY_RING, inForce.keyRing());
        on(new MembershipEvent.StoreRead(inForce, startedAt));
        on(new MembershipEvent.ListRead(fleet.store().shown(scheduler.now()), startedAt));
    }

    private void adopt(ContentKind kind, long version) {
        if (version > held.of(kind)) {
            boolean config = kind == ContentKind.CONFIG;
            held = held.max(config ? new Versions(version, 0) : new Versions(0, version));
            on(new MembershipEvent.ContentAdopted(kind, version));
        }
    }

    private void on(MembershipEvent event) {
        Instant now = scheduler.now();
        for (MembershipAction action : membership.handle(event, now)) {
            carryOut(action);
        }
        fleet.check(this, now);
    }

    private void carryOut(MembershipAction action) {
        switch (action) {
            case MembershipAction.Dial d -> wanted(d.addresses());
            case MembershipAction.SendHeartbeat s -> sendHeartbeat(s);
            case MembershipAction.FetchFromStore f -> fetchFromStore(f.kind());
            case MembershipAction.FetchFromPeer f -> fetchFromPeer(f);
            case MembershipAction.MemberChanged c -> fleet.changed(this, c.member());
            case MembershipAction.TakeIncarnation t ->
                    fleet.fail("a life was raised: " + t.node().id());
            case MembershipAction.SendStaleIncarnation t -> {}
            case MembershipAction.ProcessHeartbeat u -> {}
        }
    }

    private void wanted(Set<String> addresses) {
        wanted = new TreeSet<>(addresses);
        for (VirtualNetwork.Link link : List.copyOf(links.values())) {
            String address = link.other(this).identity().address();
            if (link.dialler() == this && !wanted.contains(address)) {
                fleet.network().close(this, link);
            }
        }
        dialling.retainAll(wanted);
        wanted.forEach(this::dial);
    }

    private void dial(String address) {
        if (dialling.add(address)) {
            fleet.network().dial(this, address);
        }
    }

    private void sendHeartbeat(MembershipAction.SendHeartbeat send) {
        Heartbeat heartbeat = send.heartbeat();
        int size =
                FRAME_OVERHEAD_BYTES
                        + HeartbeatCodec.encode(heartbeat, Optional.of(FRESHNESS))
                                .getSerializedSize();
        long life = identity().incarnation();
        transfer(
                send.peer(),
                size,
                to ->
                        to.on(
                                new MembershipEvent.HeartbeatReceived(
                                        identity().id(), life, heartbeat)));
    }

    private void fetchFromStore(ContentKind kind) {
        if (!readStore()) {
            on(new MembershipEvent.FetchFailed(kind));
        }
    }

    private void fetchFromPeer(MembershipAction.FetchFromPeer fetch) {
        ContentKind kind = fetch.kind();
        transfer(
                fetch.peer(),
                FRAME_OVERHEAD_BYTES,
                to -> to.answerFetch(identity().id(), kind, fetch.aboveVersion()));
    }

    private void answerFetch(String asker, ContentKind kind, long above) {
        long version = held.of(kind);
        if (version > above) {
            transfer(asker, FRAME_OVERHEAD_BYTES, to -> to.adopt(kind, version));
        }
    }

    private void transfer(String peer, int size, java.util.function.Consumer<VirtualNode> use) {
        VirtualNetwork.Link link = links.get(peer);
        if (link == null) {
            return;
        }
        VirtualNode to = link.other(this);
        bytes += size;
        to.bytes += size;
        fleet.network().send(this, link, () -> use.accept(to));
    }

    private Duration jittered(Duration base, double least, double most) {
        return Duration.ofMillis(Math.round(base.toMillis() * random.nextDouble(least, most)));
    }
}
