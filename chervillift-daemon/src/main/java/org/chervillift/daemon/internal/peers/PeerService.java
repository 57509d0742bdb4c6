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
 * Runs the membership protocol over the peer links: heartbeats, content versions and the exchange
 * of content.
 *
 * <p>All state is confined to the thread of the event loop.
 */
public final class PeerService implements Part {

    private static final double MIN_JITTER_FACTOR = 0.9;
    private static final double MAX_JITTER_FACTOR = 1.1;
    private static final LinkCounters ZERO_COUNTERS = new LinkCounters(0, 0, 0, 0, 0, 0, 0, 0);

    private final PeerSettings settings;
    private final MembershipSettings membershipSettings;
    private final EventLoop loop;
    private final FleetContent content;
    private final FreshnessExchange freshness;
    private final Membership membership;
    private final ContentExchange contentExchange;
    private final Map<PeerMessage.BodyCase, BiConsumer<PeerIdentity, PeerMessage>> handlers =
            new EnumMap<>(PeerMessage.BodyCase.class);
    private BiConsumer<String, Heartbeat> heartbeatListener = (peer, heartbeat) -> {};
    private PeerLinks links;
    private Scheduler.Cancellation nextTick = () -> {};
    private boolean running;

    /** Creates the service; it opens no links until it is started. */
    public PeerService(
            NodeIdentity self,
            PeerSettings settings,
            MembershipSettings rules,
            EventLoop loop,
            FleetContent content,
            FreshnessExchange freshness) {
        this.settings = Checks.notNull("settings", settings);
        this.membershipSettings = Checks.notNull("rules", rules);
        this.loop = Checks.notNull("loop", loop);
        this.content = Checks.notNull("content", content);
        this.freshness = Checks.notNull("freshness", freshness);
        this.membership = new Membership(self, settings.seedAddresses(), rules);
        this.contentExchange = new ContentExchange(content, this);
        handlers.put(PeerMessage.BodyCase.HEARTBEAT, this::onHeartbeatMessage);
        handlers.put(PeerMessage.BodyCase.STALE_INCARNATION, this::onStaleIncarnationMessage);
        handlers.put(PeerMessage.BodyCase.FETCH_REQUEST, contentExchange::onFetchRequest);
        handlers.put(PeerMessage.BodyCase.FETCH_REPLY, contentExchange::onFetchReply);
    }

    @Override
    public String name() {
        return "peers";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        return openLinks().thenRun(this::tick);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        nextTick.cancel();
        return closeLinks();
    }

    /** Announces to the peers that this process stops; links stay up until {@link #stop()}. */
    public void announceLeave() {
        handleEvent(new MembershipEvent.ShutdownStarted());
    }

    /** Returns this process's view of the other members. */
    public Membership membership() {
        return membership;
    }

    /** Returns the address that peers connect to, while this process listens. */
    public Optional<HostPort> listenAddress() {
        return Optional.ofNullable(links).map(PeerLinks::listenAddress);
    }

    /** Returns the counters of the links since they were last opened. */
    public LinkCounters counters() {
        return links == null ? ZERO_COUNTERS : links.counters();
    }

    /** Sets the handler of messages of one kind. */
    public void setHandler(
            PeerMessage.BodyCase kind, BiConsumer<PeerIdentity, PeerMessage> handler) {
        handlers.put(kind, handler);
    }

    /** Sets the listener that receives each new heartbeat with its loads and versions. */
    public void setHeartbeatListener(BiConsumer<String, Heartbeat> listener) {
        heartbeatListener = listener;
    }

    /** Sends a message to a linked peer; returns false if there is no link to it. */
    public boolean send(String peer, PeerMessage message, Delivery delivery) {
        return links != null && links.send(peer, message, delivery);
    }

    /** Records the current content versions that were read from the platform. */
    public void onStoreRead(Versions currentVersions, Instant startedAt) {
        handleEvent(new MembershipEvent.StoreRead(currentVersions, startedAt));
        onHeldVersionsChanged();
    }

    /** Records the VM list that was read from the platform. */
    public void onVmListRead(List<ListedVm> vms, Instant startedAt) {
        handleEvent(new MembershipEvent.ListRead(vms, startedAt));
    }

    /** Records the load that this process puts on each upstream. */
    public void onLoadsChanged(List<UpstreamLoad> loads) {
        handleEvent(new MembershipEvent.LoadsChanged(loads));
    }

    /** Checks whether this process holds newer content, and records its versions if so. */
    public void onHeldVersionsChanged() {
        Versions held = content.heldVersions();
        for (ContentKind kind : ContentKind.values()) {
            if (held.of(kind) > membership.held().of(kind)) {
                handleEvent(new MembershipEvent.ContentAdopted(kind, held.of(kind)));
            }
        }
    }

    void handleEvent(MembershipEvent event) {
        handleEvent(event, Optional.empty());
    }

    private void handleEvent(MembershipEvent event, Optional<PeerFreshness> received) {
        Instant now = loop.scheduler().now();
        for (MembershipAction action : membership.handle(event, now)) {
            execute(action, received, now);
        }
    }

    private void execute(MembershipAction action, Optional<PeerFreshness> received, Instant now) {
        switch (action) {
            case MembershipAction.Dial d -> dial(d);
            case MembershipAction.SendHeartbeat s -> sendHeartbeat(s, now);
            case MembershipAction.ProcessHeartbeat u -> useHeartbeat(u, received);
            case MembershipAction.SendStaleIncarnation t -> contentExchange.sendStaleIncarnation(t);
            case MembershipAction.TakeIncarnation t -> onIncarnationRaised(t.node());
            case MembershipAction.FetchFromStore f -> contentExchange.fetchFromStore(f.kind());
            case MembershipAction.FetchFromPeer f -> contentExchange.fetchFromPeer(f);
            case MembershipAction.MemberChanged c -> logChange(c);
        }
    }

    private void tick() {
        if (!running) {
            return;
        }
        onHeldVersionsChanged();
        handleEvent(new MembershipEvent.Tick());
        double jitter = loop.random().nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR);
        Duration delay =
                Duration.ofMillis(
                        Math.round(membershipSettings.heartbeatInterval().toMillis() * jitter));
        nextTick = loop.scheduler().schedule(delay, this::tick);
    }

    private void dial(MembershipAction.Dial action) {
        if (links != null) {
            links.dial(PeerAddresses.parse(action.addresses()));
        }
    }

    private void sendHeartbeat(MembershipAction.SendHeartbeat action, Instant now) {
        Optional<PeerFreshness> freshnessToSend =
                action.echoReceivedAt().map(at -> freshness.freshnessToSend(at, now));
        send(
                action.peer(),
                HeartbeatCodec.encode(action.heartbeat(), freshnessToSend),
                Delivery.ADVICE);
    }

    private void useHeartbeat(
            MembershipAction.ProcessHeartbeat action, Optional<PeerFreshness> received) {
        if (received.isPresent() && action.echoSentAt().isPresent()) {
            freshness.freshnessReceived(action.peer(), received.get(), action.echoSentAt().get());
        }
        heartbeatListener.accept(action.peer(), action.heartbeat());
    }

    private void onIncarnationRaised(NodeIdentity node) {
        EventLog.log(PeerEvent.INCARNATION_RAISED, Field.of("incarnation", node.incarnation()));
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

    private void onHeartbeatMessage(PeerIdentity peer, PeerMessage message) {
        Heartbeat heartbeat = HeartbeatCodec.decode(message.getHeartbeat());
        handleEvent(
                new MembershipEvent.HeartbeatReceived(peer.id(), peer.incarnation(), heartbeat),
                HeartbeatCodec.decodeFreshness(message.getHeartbeat()));
    }

    private void onStaleIncarnationMessage(PeerIdentity peer, PeerMessage message) {
        handleEvent(new MembershipEvent.StaleIncarnation(message.getStaleIncarnation().getKnown()));
    }

    /** Forwards link events and messages to the membership protocol. */
    private final class LinkListener implements PeerListener {

        @Override
        public void linkUp(PeerIdentity peer, HostPort listen) {
            handleEvent(
                    new MembershipEvent.LinkUp(
                            new NodeIdentity(
                                    peer.id(),
                                    peer.incarnation(),
                                    peer.dataCentre(),
                                    listen.toString())));
        }

        @Override
        public void linkDown(PeerIdentity peer, String reason) {
            handleEvent(new MembershipEvent.LinkDown(peer.id(), peer.incarnation()));
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
