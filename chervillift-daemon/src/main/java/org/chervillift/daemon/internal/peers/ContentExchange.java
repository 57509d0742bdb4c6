package org.chervillift.daemon.internal.peers;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.chervillift.api.ChervilliftException;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.MembershipAction;
import org.chervillift.core.membership.MembershipEvent;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.wire.Delivery;
import org.chervillift.wire.PeerIdentity;
import org.chervillift.wire.generated.FetchReply;
import org.chervillift.wire.generated.FetchRequest;
import org.chervillift.wire.generated.PeerMessage;
import org.chervillift.wire.generated.StaleIncarnation;

/** Fetches newer content from the store or from peers, and serves content to peers. */
final class ContentExchange {

    private final FleetContent content;
    private final PeerService peers;

    ContentExchange(FleetContent content, PeerService peers) {
        this.content = content;
        this.peers = peers;
    }

    void fetchFromStore(ContentKind kind) {
        content.refreshFromStore()
                .whenComplete((ignored, failure) -> onFetchEnded(kind, failure != null));
    }

    void fetchFromPeer(MembershipAction.FetchFromPeer fetch) {
        FetchRequest request =
                FetchRequest.newBuilder()
                        .setKind(encode(fetch.kind()))
                        .setAboveVersion(fetch.aboveVersion())
                        .build();
        PeerMessage message = PeerMessage.newBuilder().setFetchRequest(request).build();
        if (!peers.send(fetch.peer(), message, Delivery.TRANSFER)) {
            onFetchEnded(fetch.kind(), true);
        }
    }

    void sendStaleIncarnation(MembershipAction.SendStaleIncarnation tell) {
        StaleIncarnation body = StaleIncarnation.newBuilder().setKnown(tell.known()).build();
        PeerMessage message = PeerMessage.newBuilder().setStaleIncarnation(body).build();
        peers.send(tell.peer(), message, Delivery.TRANSFER);
    }

    /** Sends the requested content only if it is newer than what the requesting peer holds. */
    void onFetchRequest(PeerIdentity peer, PeerMessage message) {
        FetchRequest request = message.getFetchRequest();
        Optional<ContentKind> kind = decode(request.getKind());
        if (kind.isEmpty() || content.heldVersions().of(kind.get()) <= request.getAboveVersion()) {
            return;
        }
        content.encode(kind.get())
                .ifPresent(
                        bytes ->
                                peers.send(
                                        peer.id(),
                                        buildReply(kind.get(), bytes),
                                        Delivery.TRANSFER));
    }

    void onFetchReply(PeerIdentity peer, PeerMessage message) {
        FetchReply reply = message.getFetchReply();
        Optional<ContentKind> kind = decode(reply.getKind());
        if (kind.isEmpty()) {
            return;
        }
        try {
            content.offer(kind.get(), reply.getContent().toByteArray());
            EventLog.log(
                    PeerEvent.FETCHED_FROM_PEER,
                    Field.of("kind", kind.get()),
                    Field.of("version", reply.getVersion()),
                    Field.of("peer", peer.id()));
        } catch (ChervilliftException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        } finally {
            onFetchEnded(kind.get(), content.heldVersions().of(kind.get()) < reply.getVersion());
        }
    }

    private void onFetchEnded(ContentKind kind, boolean failed) {
        peers.onHeldVersionsChanged();
        if (failed) {
            peers.handleEvent(new MembershipEvent.FetchFailed(kind));
        }
    }

    private PeerMessage buildReply(ContentKind kind, byte[] bytes) {
        FetchReply reply =
                FetchReply.newBuilder()
                        .setKind(encode(kind))
                        .setVersion(content.heldVersions().of(kind))
                        .setContent(ByteString.copyFrom(bytes))
                        .build();
        return PeerMessage.newBuilder().setFetchReply(reply).build();
    }

    private static org.chervillift.wire.generated.ContentKind encode(ContentKind kind) {
        return switch (kind) {
            case CONFIG -> org.chervillift.wire.generated.ContentKind.CONTENT_KIND_CONFIG;
            case KEY_RING -> org.chervillift.wire.generated.ContentKind.CONTENT_KIND_KEY_RING;
        };
    }

    private static Optional<ContentKind> decode(org.chervillift.wire.generated.ContentKind kind) {
        return switch (kind) {
            case CONTENT_KIND_CONFIG -> Optional.of(ContentKind.CONFIG);
            case CONTENT_KIND_KEY_RING -> Optional.of(ContentKind.KEY_RING);
            case CONTENT_KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    }
}
