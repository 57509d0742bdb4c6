package org.chervillift.wire.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chervillift.wire.Delivery;
import org.chervillift.wire.LinkSettings;
import org.chervillift.wire.generated.HandshakeFrame;
import org.chervillift.wire.generated.PeerMessage;

/** One channel: first the handshake, then sealed messages. Runs on the event loop only. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final String DECODER = "decoder";

    private final Handshake handshake;
    private final boolean dialler;
    private final LinkSettings settings;
    private final Counters counters;
    private final Owner owner;
    private final SendQueue queue;
    private ChannelHandlerContext context;
    private Session session;
    private String closeReason = "The other side closed the channel.";

    LinkHandler(
            Handshake handshake,
            boolean dialler,
            LinkSettings settings,
            Counters counters,
            Owner owner) {
        this.handshake = handshake;
        this.dialler = dialler;
        this.settings = settings;
        this.counters = counters;
        this.owner = owner;
        this.queue = new SendQueue(settings.mostQueuedBytes());
    }

    /** Told what becomes of a channel. */
    interface Owner {
        /** The handshake is done. */
        void established(LinkHandler link);

        /** A message came. */
        void received(LinkHandler link, PeerMessage message);

        /** The other side did not prove its membership. */
        void refused(String remote, String reason);

        /** The channel is closed. */
        void closed(LinkHandler link, String reason);
    }

    /** Returns what the handshake gave, once it is done. */
    Optional<Session> session() {
        return Optional.ofNullable(session);
    }

    void close(String reason) {
        closeReason = reason;
        context.close();
    }

    void send(byte[] payload, Delivery delivery) {
        counters.dropped.add(queue.add(payload, delivery));
        flushQueue();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.pipeline().addBefore(ctx.name(), DECODER, decoder(Handshake.MOST_FRAME_BYTES));
        ctx.executor()
                .schedule(
                        this::closeUnproved,
                        settings.handshakeTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (dialler) {
            writePlain(handshake.firstFrame());
        }
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        counters.bytesReceived.add(frame.readableBytes() + LENGTH_BYTES);
        counters.framesReceived.increment();
        try {
            if (session == null) {
                readHandshake(frame);
            } else {
                readSealed(frame);
            }
        } catch (StrangerException | InvalidProtocolBufferException e) {
            counters.refused.increment();
            owner.refused(String.valueOf(ctx.channel().remoteAddress()), e.getMessage());
            close("It was refused.");
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        flushQueue();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent) {
            counters.silent.increment();
            close("It brought nothing for " + settings.silentAfter().toMillis() + " ms.");
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        owner.closed(this, closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close(String.valueOf(cause.getMessage()));
    }

    private void closeUnproved() {
        if (session == null && context.channel().isOpen()) {
            close("The handshake took too long.");
        }
    }

    private void readHandshake(ByteBuf buf)
            throws StrangerException, InvalidProtocolBufferException {
        HandshakeFrame frame = HandshakeFrame.parseFrom(ByteBufUtil.getBytes(buf));
        handshake.take(frame).ifPresent(this::writePlain);
        if (Handshake.isLast(frame)) {
            session = handshake.session();
            context.pipeline().replace(DECODER, DECODER, decoder(settings.mostFrameBytes()));
            long silentMillis = settings.silentAfter().toMillis();
            context.pipeline()
                    .addFirst(new IdleStateHandler(silentMillis, 0, 0, TimeUnit.MILLISECONDS));
            owner.established(this);
        }
    }

    private void readSealed(ByteBuf buf) throws StrangerException, InvalidProtocolBufferException {
        if (buf.readableBytes() < Seal.TAG_BYTES) {
            throw new StrangerException("A frame has no tag.");
        }
        byte[] tag = new byte[Seal.TAG_BYTES];
        buf.readBytes(tag);
        byte[] payload = ByteBufUtil.getBytes(buf);
        if (!session.in().accepts(tag, payload)) {
            throw new StrangerException("The tag of a frame is wrong.");
        }
        owner.received(this, PeerMessage.parseFrom(payload));
    }

    private void writePlain(HandshakeFrame frame) {
        byte[] payload = frame.toByteArray();
        ByteBuf buf = context.alloc().buffer(LENGTH_BYTES + payload.length);
        buf.writeInt(payload.length);
        buf.writeBytes(payload);
        write(buf);
    }

    private void flushQueue() {
        while (context.channel().isActive() && context.channel().isWritable()) {
            Optional<byte[]> payload = queue.poll();
            if (payload.isEmpty()) {
                return;
            }
            writeSealed(payload.get());
        }
    }

    private void writeSealed(byte[] payload) {
        int length = Seal.TAG_BYTES + payload.length;
        ByteBuf buf = context.alloc().buffer(LENGTH_BYTES + length);
        buf.writeInt(length);
        buf.writeBytes(session.out().next(payload));
        buf.writeBytes(payload);
        write(buf);
    }

    private void write(ByteBuf buf) {
        counters.bytesSent.add(buf.readableBytes());
        counters.framesSent.increment();
        context.writeAndFlush(buf);
    }

    private static LengthFieldBasedFrameDecoder decoder(int mostBytes) {
        return new LengthFieldBasedFrameDecoder(
                mostBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
