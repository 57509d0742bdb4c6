package org.chervillift.wire.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.Delivery;
import org.chervillift.wire.LinkCounters;
import org.chervillift.wire.LinkEvent;
import org.chervillift.wire.LinkSettings;
import org.chervillift.wire.PeerIdentity;
import org.chervillift.wire.PeerLinks;
import org.chervillift.wire.PeerListener;
import org.chervillift.wire.SharedSecret;
import org.chervillift.wire.generated.Node;
import org.chervillift.wire.generated.PeerMessage;

/** Links over Netty with one event loop thread; all state is touched on that thread only. */
public final class NettyPeerLinks implements PeerLinks {

    private static final int THREADS = 1;
    private static final long QUIET_MILLIS = 0;
    private static final long STOP_MILLIS = 2_000;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final String STOPPED = "This process stops.";

    private final PeerIdentity self;
    private final SharedSecret secret;
    private final LinkSettings settings;
    private final Executor executor;
    private final PeerListener listener;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Dialler dialler;
    private final Counters counters = new Counters();
    private final LinkTable table;
    private final Set<LinkHandler> channels = new HashSet<>();
    private final Map<LinkHandler, Dial> dials = new HashMap<>();
    private Node node;
    private HostPort listenAddress;
    private Channel server;
    private boolean stopping;

    private NettyPeerLinks(
            PeerIdentity self,
            SharedSecret secret,
            LinkSettings settings,
            long seed,
            Executor executor,
            PeerListener listener) {
        this.self = self;
        this.secret = secret;
        this.settings = settings;
        this.executor = executor;
        this.listener = listener;
        this.table = new LinkTable(self.id());
        this.group =
                new MultiThreadIoEventLoopGroup(
                        THREADS,
                        new DefaultThreadFactory("peer-links", true),
                        NioIoHandler.newFactory());
        this.loop = group.next();
        this.dialler =
                new Dialler(
                        settings,
                        new SplittableRandom(seed),
                        (task, delay, unit) -> loop.schedule(task, delay, unit),
                        table::isLinked,
                        this::connect);
    }

    /** Listens for peers. */
    public static CompletionStage<PeerLinks> open(
            PeerIdentity self,
            HostPort listen,
            SharedSecret secret,
            LinkSettings settings,
            long seed,
            Executor executor,
            PeerListener listener) {
        NettyPeerLinks links = new NettyPeerLinks(self, secret, settings, seed, executor, listener);
        return links.listen(listen);
    }

    @Override
    public HostPort listenAddress() {
        return listenAddress;
    }

    @Override
    public void dial(Set<HostPort> wanted) {
        Set<HostPort> addresses = Set.copyOf(wanted);
        loop.execute(() -> dialOnLoop(addresses));
    }

    @Override
    public boolean send(String peerId, PeerMessage message, Delivery delivery) {
        LinkHandler link = table.byId(peerId);
        if (link == null) {
            return false;
        }
        byte[] payload = message.toByteArray();
        loop.execute(() -> link.send(payload, delivery));
        return true;
    }

    @Override
    public int broadcast(PeerMessage message, Delivery delivery) {
        byte[] payload = message.toByteArray();
        Set<LinkHandler> links = table.all();
        loop.execute(() -> links.forEach(l -> l.send(payload, delivery)));
        return links.size();
    }

    @Override
    public Set<PeerIdentity> linked() {
        return table.peers();
    }

    @Override
    public LinkCounters counters() {
        return counters.snapshot(table.all().size());
    }

    @Override
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    stopping = true;
                    dialler.want(Set.of());
                    Set.copyOf(channels).forEach(c -> c.close(STOPPED));
                    server.close().addListener(f -> loop.execute(() -> shutDown(done)));
                });
        return done;
    }

    private void shutDown(CompletableFuture<Void> done) {
        group.shutdownGracefully(QUIET_MILLIS, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .addListener(f -> executor.execute(() -> done.complete(null)));
    }

    private CompletionStage<PeerLinks> listen(HostPort address) {
        CompletableFuture<PeerLinks> opened = new CompletableFuture<>();
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, allocator())
                        .childOption(ChannelOption.SO_RCVBUF, BUFFER_BYTES)
                        .childOption(ChannelOption.SO_SNDBUF, BUFFER_BYTES)
                        .childHandler(new Initializer(null));
        ChannelFuture bound = bootstrap.bind(address.toSocketAddress());
        bound.addListener(
                f -> {
                    if (f.isSuccess()) {
                        InetSocketAddress local =
                                (InetSocketAddress) bound.channel().localAddress();
                        listenAddress = new HostPort(address.host(), local.getPort());
                        node = node();
                        server = bound.channel();
                        executor.execute(() -> opened.complete(this));
                    } else {
                        group.shutdownGracefully();
                        executor.execute(() -> opened.completeExceptionally(f.cause()));
                    }
                });
        return opened;
    }

    private Node node() {
        return Node.newBuilder()
                .setId(self.id())
                .setIncarnation(self.incarnation())
                .setDataCentre(self.dataCentre())
                .setListen(listenAddress.toString())
                .build();
    }

    private void dialOnLoop(Set<HostPort> wanted) {
        if (stopping) {
            return;
        }
        dialler.want(wanted);
        for (Map.Entry<LinkHandler, Dial> e : Map.copyOf(dials).entrySet()) {
            if (!dialler.wants(e.getValue().address())) {
                e.getKey().close("This process needs the link no longer.");
            }
        }
    }

    private void connect(HostPort address) {
        if (channels.size() >= settings.mostLinks()) {
            dialler.ended(address, false);
            return;
        }
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, allocator())
                .option(ChannelOption.SO_RCVBUF, BUFFER_BYTES)
                .option(ChannelOption.SO_SNDBUF, BUFFER_BYTES)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(settings.handshakeTimeout().toMillis()))
                .handler(new Initializer(address))
                .connect(address.toSocketAddress());
    }

    private static UnpooledByteBufAllocator allocator() {
        return new UnpooledByteBufAllocator(false, true);
    }

    private record Dial(HostPort address, long startedNanos) {}

    /** Sets up a channel; the address is null where the other side dialled. */
    private final class Initializer extends ChannelInitializer<Channel> {
        private final HostPort dialled;

        Initializer(HostPort dialled) {
            this.dialled = dialled;
        }

        @Override
        protected void initChannel(Channel channel) {
            boolean full = dialled == null && channels.size() >= settings.mostLinks();
            if (stopping || full) {
                channel.close();
                return;
            }
            boolean dials = dialled != null;
            Handshake handshake =
                    dials ? Handshake.dialling(node, secret) : Handshake.accepting(node, secret);
            LinkHandler handler =
                    new LinkHandler(handshake, dials, settings, counters, new ChannelOwner());
            channels.add(handler);
            if (dials) {
                NettyPeerLinks.this.dials.put(handler, new Dial(dialled, System.nanoTime()));
            }
            channel.pipeline().addLast(handler);
        }
    }

    private final class ChannelOwner implements LinkHandler.Owner {

        @Override
        public void established(LinkHandler link) {
            Session session = link.session().orElseThrow();
            LinkTable.Change change = table.add(link, session);
            change.loser().ifPresent(l -> l.close("Another link to the same peer took its place."));
            change.replacedLife().ifPresent(p -> down(p, "A new life of the peer took its place."));
            if (change.newLife()) {
                EventLog.log(LinkEvent.LINK_UP, Field.of("peer", session.peer().id()));
                executor.execute(() -> listener.linkUp(session.peer(), session.listen()));
            }
        }

        @Override
        public void received(LinkHandler link, PeerMessage message) {
            PeerIdentity peer = link.session().orElseThrow().peer();
            executor.execute(() -> listener.received(peer, message));
        }

        @Override
        public void refused(String remote, String reason) {
            EventLog.log(
                    LinkEvent.STRANGER_REFUSED,
                    Field.of("remote", remote),
                    Field.of("reason", reason));
        }

        @Override
        public void closed(LinkHandler link, String reason) {
            channels.remove(link);
            Dial dial = dials.remove(link);
            boolean wasInUse = table.remove(link);
            if (wasInUse) {
                down(link.session().orElseThrow().peer(), reason);
            }
            if (stopping) {
                return;
            }
            if (dial != null) {
                long lived = System.nanoTime() - dial.startedNanos();
                dialler.ended(dial.address(), lived > settings.silentAfter().toNanos());
            } else if (wasInUse) {
                dialler.lost(link.session().orElseThrow().listen());
            }
        }

        private void down(PeerIdentity peer, String reason) {
            EventLog.log(
                    LinkEvent.LINK_DOWN, Field.of("peer", peer.id()), Field.of("reason", reason));
            executor.execute(() -> listener.linkDown(peer, reason));
        }
    }
}
