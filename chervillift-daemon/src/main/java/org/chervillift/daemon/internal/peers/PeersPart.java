package org.chervillift.daemon.internal.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Heartbeat;
import org.chervillift.core.membership.Membership;
import org.chervillift.core.membership.MembershipAction;
import org.chervillift.core.membership.MembershipEvent;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.UpstreamLoad;
import org.chervillift.core.membership.Versions;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.wire.Delivery;
import org.chervillift.wire.LinkCounters;
import org.chervillift.wire.LinkSettings;
import org.chervillift.wire.PeerIdentity;
import org.chervillift.wire.PeerLinks;
import org.chervillift.wire.PeerListener;
import org.chervillift.wire.SharedSecret;
import org.chervillift.wire.generated.PeerMessage;

/**
 * Runs membership on the links: heartbeats, versions and the exchange of content.
 *
 * <p>All state is touched on the loop's thread only.
 */
public final class PeersPart implements Part {

    private static final double LEAST_JITTER = 0.9;
    private static final double MOST_JITTER = 1.1;
    private static final LinkCounters NO_LINKS = new LinkCounters(0, 0, 0, 0, 0, 0, 0, 0);

    private final PeerSettings settings;
    private final MembershipSettings rules;
    private final Loop loop;
    private final FleetContent content;
    private final FreshnessExchange freshness;
    private final Membership membership;
    private final ContentExchange exchange;
    private final Map<PeerMessage.BodyCase, BiConsumer<PeerIdentity, PeerMessage>> handlers =
            new EnumMap<>(PeerMessage.BodyCase.class);
    private BiConsumer<String, Heartbeat> heartbeatListener = (peer, heartbeat) -> {};
    private PeerLinks links;
    private Scheduler.Cancellation nextBeat = () -> {};
    private boolean running;

    /** Creates the part; nothing runs yet. */
    public PeersPart(
            NodeIdentity self,
            PeerSettings settings,
            MembershipSettings rules,
            Loop loop,
            FleetContent content,
            FreshnessExchange freshness) {
        this.settings = Checks.notNull("settings", settings);
        this.rules = Checks.notNull("rules", rules);
        this.loop = Checks.notNull("loop", loop);
        this.content = Checks.notNull("content", content);
        this.freshness = Checks.notNull("freshness", freshness);
        this.membership = new Membership(self, settings.seedTexts(), rules);
        this.exchange = new ContentExchange(content, this);
        handlers.put(PeerMessage.BodyCase.HEARTBEAT, this::heartbeatCame);
        handlers.put(PeerMessage.BodyCase.STALE_INCARNATION, this::staleIncarnationCame);
        handlers.put(PeerMessage.BodyCase.FETCH_REQUEST, exchange::requested);
        handlers.put(PeerMessage.BodyCase.FETCH_REPLY, exchange::replied);
    }

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        return openLinks().thenRun(this::beat);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        nextBeat.cancel();
        return closeLinks();
    }

    /** Tells the peers that this process stops; links stay up until the part stops. */
    public void leave() {
        on(new MembershipEvent.ShutdownStarted());
    }

    /** Returns the view that this process has of the others. */
    public Membership membership() {
        return membership;
    }

    /** Returns where peers dial this process, while it listens. */
    public Optional<HostPort> listenAddress() {
        return Optional.ofNullable(links).map(PeerLinks::listenAddress);
    }

    /** Returns what the links have done since they were opened last. */
    public LinkCounters counters() {
        return links == null ? NO_LINKS : links.counters();
    }

    /** Hands messages of a kind to another part. */
    public void handle(PeerMessage.BodyCase kind, BiConsumer<PeerIdentity, PeerMessage> handler) {
        handlers.put(kind, handler);
    }

    /** Hands the loads and versions of each new heartbeat to another part. */
    public void onHeartbeat(BiConsumer<String, Heartbeat> listener) {
        heartbeatListener = listener;
    }

    /** Sends a message to a linked peer; returns false if there is no link to it. */
    public boolean send(String peer, PeerMessage message, Delivery delivery) {
        return links != null && links.send(peer, message, delivery);
    }

    /** Notes that the platform answered a read of the versions in force. */
    public void storeRead(Versions inForce, Instant startedAt) {
        on(new MembershipEvent.StoreRead(inForce, startedAt));
        heldChanged();
    }

    /** Notes that the platform's list was read. */
    public void listRead(List<ListedVm> vms, Instant startedAt) {
        on(new MembershipEvent.ListRead(vms, startedAt));
    }

    /** Notes the loads that this process puts on upstreams. */
    public void loadsChanged(List<UpstreamLoad> loads) {
        on(new MembershipEvent.LoadsChanged(loads));
    }

    /** Notes that this process may hold newer content. */
    public void heldChanged() {
        Versions held = content.held();
        for (ContentKind kind : ContentKind.values()) {
            if (held.of(kind) > membership.held().of(kind)) {
                on(new MembershipEvent.ContentAdopted(kind, held.of(kind)));
            }
        }
    }

    void on(MembershipEvent event) {
        on(event, Optional.empty());
    }

    private void on(MembershipEvent event, Optional<PeerFreshness> told) {
        Instant now = loop.scheduler().now();
        for (MembershipAction action : membership.handle(event, now)) {
            carryOut(action, told, now);
        }
    }

    private void carryOut(MembershipAction action, Optional<PeerFreshness> told, Instant now) {
        switch (action) {
            case MembershipAction.Dial d -> dial(d);
            case MembershipAction.SendHeartbeat s -> sendHeartbeat(s, now);
            case MembershipAction.ProcessHeartbeat u -> useHeartbeat(u, told);
            case MembershipAction.SendStaleIncarnation t -> exchange.tellStaleIncarnation(t);
            case MembershipAction.TakeIncarnation t -> takeIncarnation(t.node());
            case MembershipAction.FetchFromStore f -> exchange.fetchFromStore(f.kind());
            case MembershipAction.FetchFromPeer f -> exchange.fetchFromPeer(f);
            case MembershipAction.MemberChanged c -> logChange(c);
        }
    }

    private void beat() {
        if (!running) {
            return;
        }
        heldChanged();
        on(new MembershipEvent.Tick());
        double jitter = loop.random().nextDouble(LEAST_JITTER, MOST_JITTER);
        Duration delay =
                Duration.ofMillis(Math.round(rules.heartbeatInterval().toMillis() * jitter));
        nextBeat = loop.scheduler().schedule(delay, this::beat);
    }

    private void dial(MembershipAction.Dial action) {
        if (links != null) {
            links.dial(PeerAddresses.parse(action.addresses()));
        }
    }

    private void sendHeartbeat(MembershipAction.SendHeartbeat action, Instant now) {
        Optional<PeerFreshness> own = action.echoReceivedAt().map(at -> freshness.tell(at, now));
        send(action.peer(), HeartbeatCodec.encode(action.heartbeat(), own), Delivery.ADVICE);
    }

    private void useHeartbeat(
            MembershipAction.ProcessHeartbeat action, Optional<PeerFreshness> told) {
        if (told.isPresent() && action.echoSentAt().isPresent()) {
            freshness.heard(action.peer(), told.get(), action.echoSentAt().get());
        }
        heartbeatListener.accept(action.peer(), action.heartbeat());
    }

    private void takeIncarnation(NodeIdentity node) {
        EventLog.log(PeerEvent.INCARNATION_TAKEN, Field.of("incarnation", node.incarnation()));
        closeLinks().thenCompose(ignored -> running ? openLinks() : closeLinks());
    }

    private static void logChange(MembershipAction.MemberChanged change) {
        EventLog.log(
                PeerEvent.MEMBER_CHANGED,
                Field.of("member", change.member().id()),
                Field.of("incarnation", change.member().node().incarnation()),
                Field.of("data-centre", change.member().node().dataCentre()),
                Field.of("state", change.member().state()));
    }

    private CompletionStage<Void> openLinks() {
        NodeIdentity self = membership.self();
        return PeerLinks.open(
                        new PeerIdentity(self.id(), self.incarnation(), self.dataCentre()),
                        HostPort.parse(self.address()),
                        SharedSecret.of(settings.secret()),
                        LinkSettings.defaults(),
                        loop.random().nextLong(),
                        loop.executor(),
                        new LinkListener())
                .thenAccept(
                        opened -> {
                            links = opened;
                            opened.dial(PeerAddresses.parse(membership.dialledAddresses()));
                        });
    }

    private CompletionStage<Void> closeLinks() {
        if (links == null) {
            return CompletableFuture.completedFuture(null);
        }
        PeerLinks closing = links;
        links = null;
        return closing.stop();
    }

    private void heartbeatCame(PeerIdentity peer, PeerMessage message) {
        Heartbeat heartbeat = HeartbeatCodec.decode(message.getHeartbeat());
        on(
                new MembershipEvent.HeartbeatReceived(peer.id(), peer.incarnation(), heartbeat),
                HeartbeatCodec.freshness(message.getHeartbeat()));
    }

    private void staleIncarnationCame(PeerIdentity peer, PeerMessage message) {
        on(new MembershipEvent.StaleIncarnation(message.getStaleIncarnation().getKnown()));
    }

    /** Hears the links. */
    private final class LinkListener implements PeerListener {

        @Override
        public void linkUp(PeerIdentity peer, HostPort listen) {
            on(
                    new MembershipEvent.LinkUp(
                            new NodeIdentity(
                                    peer.id(),
                                    peer.incarnation(),
                                    peer.dataCentre(),
                                    listen.toString())));
        }

        @Override
        public void linkDown(PeerIdentity peer, String reason) {
            on(new MembershipEvent.LinkDown(peer.id(), peer.incarnation()));
        }

        @Override
        public void received(PeerIdentity peer, PeerMessage message) {
            BiConsumer<PeerIdentity, PeerMessage> handler = handlers.get(message.getBodyCase());
            if (handler == null) {
                return;
            }
            try {
                handler.accept(peer, message);
            } catch (IllegalArgumentException e) {
                EventLog.log(
                        PeerEvent.BAD_MESSAGE,
                        Field.of("peer", peer.id()),
                        Field.of("reason", e.getMessage()));
            }
        }
    }
}
