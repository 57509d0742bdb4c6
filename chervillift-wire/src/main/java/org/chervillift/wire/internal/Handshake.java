package org.chervillift.wire.internal;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.PeerIdentity;
import org.chervillift.wire.SharedSecret;
import org.chervillift.wire.generated.HandshakeFrame;
import org.chervillift.wire.generated.Hello;
import org.chervillift.wire.generated.Node;
import org.chervillift.wire.generated.Proof;
import org.chervillift.wire.generated.Welcome;

/**
 * Mutual proof of membership by challenge and response.
 *
 * <p>Each side sends a fresh nonce. Each proof is an HMAC of both nonces and both names under its
 * own label, so that a proof can be neither replayed nor reflected. The keys of the frames come
 * from the same exchange.
 */
final class Handshake {

    /** The largest frame that an unproved side may send. */
    static final int MOST_FRAME_BYTES = 512;

    private static final int PROTOCOL = 1;
    private static final int NONCE_BYTES = 16;
    private static final int PROOF_BYTES = 32;
    private static final String ACCEPTOR_PROOF = "acceptor proof";
    private static final String DIALLER_PROOF = "dialler proof";
    private static final String ACCEPTOR_FRAMES = "acceptor frames";
    private static final String DIALLER_FRAMES = "dialler frames";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final Node self;
    private final SharedSecret secret;
    private final boolean dialler;
    private Hello hello;
    private Welcome welcome;

    private Handshake(Node self, SharedSecret secret, boolean dialler) {
        this.self = self;
        this.secret = secret;
        this.dialler = dialler;
    }

    static Handshake accepting(Node self, SharedSecret secret) {
        return new Handshake(self, secret, false);
    }

    static Handshake dialling(Node self, SharedSecret secret) {
        Handshake handshake = new Handshake(self, secret, true);
        handshake.hello =
                Hello.newBuilder().setProtocol(PROTOCOL).setNode(self).setNonce(nonce()).build();
        return handshake;
    }

    /** Returns the first frame of the dialling side. */
    HandshakeFrame firstFrame() {
        return HandshakeFrame.newBuilder().setHello(hello).build();
    }

    /** Takes a frame and returns the answer to it, if one is due. */
    Optional<HandshakeFrame> take(HandshakeFrame frame) throws StrangerException {
        return switch (frame.getBodyCase()) {
            case HELLO -> Optional.of(takeHello(frame.getHello()));
            case WELCOME -> Optional.of(takeWelcome(frame.getWelcome()));
            case PROOF -> takeProof(frame.getProof());
            case BODY_NOT_SET -> throw new StrangerException("The handshake frame is empty.");
        };
    }

    /** Returns whether this frame ends the handshake when it is taken. */
    static boolean isLast(HandshakeFrame frame) {
        return frame.hasWelcome() || frame.hasProof();
    }

    /** Returns what the finished handshake gives. */
    Session session() throws StrangerException {
        Node peer = dialler ? welcome.getNode() : hello.getNode();
        String outLabel = dialler ? DIALLER_FRAMES : ACCEPTOR_FRAMES;
        String inLabel = dialler ? ACCEPTOR_FRAMES : DIALLER_FRAMES;
        try {
            PeerIdentity identity =
                    new PeerIdentity(peer.getId(), peer.getIncarnation(), peer.getDataCentre());
            HostPort listen = HostPort.parse(peer.getListen());
            return new Session(identity, listen, dialler, seal(outLabel), seal(inLabel));
        } catch (IllegalArgumentException | ChervilliftException e) {
            throw new StrangerException("The name of the peer is not well formed.");
        }
    }

    private HandshakeFrame takeHello(Hello frame) throws StrangerException {
        if (dialler || hello != null) {
            throw new StrangerException("A Hello came out of turn.");
        }
        check(frame.getProtocol(), frame.getNode(), frame.getNonce());
        hello = frame;
        welcome =
                Welcome.newBuilder().setProtocol(PROTOCOL).setNode(self).setNonce(nonce()).build();
        ByteString proof = ByteString.copyFrom(hmac(ACCEPTOR_PROOF));
        Welcome proved = welcome.toBuilder().setProof(proof).build();
        return HandshakeFrame.newBuilder().setWelcome(proved).build();
    }

    private HandshakeFrame takeWelcome(Welcome frame) throws StrangerException {
        if (!dialler || welcome != null) {
            throw new StrangerException("A Welcome came out of turn.");
        }
        check(frame.getProtocol(), frame.getNode(), frame.getNonce());
        welcome = frame.toBuilder().clearProof().build();
        checkProof(frame.getProof(), ACCEPTOR_PROOF);
        ByteString proof = ByteString.copyFrom(hmac(DIALLER_PROOF));
        return HandshakeFrame.newBuilder().setProof(Proof.newBuilder().setProof(proof)).build();
    }

    private Optional<HandshakeFrame> takeProof(Proof frame) throws StrangerException {
        if (dialler || welcome == null) {
            throw new StrangerException("A Proof came out of turn.");
        }
        checkProof(frame.getProof(), DIALLER_PROOF);
        return Optional.empty();
    }

    private void check(int protocol, Node node, ByteString nonce) throws StrangerException {
        if (protocol != PROTOCOL) {
            throw new StrangerException("It speaks version " + protocol + " of the protocol.");
        }
        if (nonce.size() != NONCE_BYTES) {
            throw new StrangerException("The nonce has the wrong length.");
        }
        if (node.getId().equals(self.getId())) {
            throw new StrangerException("It calls itself " + self.getId() + ", as this process.");
        }
    }

    private void checkProof(ByteString proof, String label) throws StrangerException {
        if (proof.size() != PROOF_BYTES
                || !MessageDigest.isEqual(proof.toByteArray(), hmac(label))) {
            throw new StrangerException("It does not know the shared secret.");
        }
    }

    private Seal seal(String label) {
        return new Seal(new SecretKeySpec(hmac(label), SharedSecret.ALGORITHM));
    }

    private byte[] hmac(String label) {
        Mac mac = Seal.mac(secret.key());
        update(mac, label.getBytes(StandardCharsets.UTF_8));
        update(mac, hello.toByteArray());
        update(mac, welcome.toByteArray());
        return mac.doFinal();
    }

    private static void update(Mac mac, byte[] part) {
        mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        mac.update(part);
    }

    private static ByteString nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }
}
