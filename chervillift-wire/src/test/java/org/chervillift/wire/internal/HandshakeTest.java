package org.chervillift.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.chervillift.wire.SharedSecret;
import org.chervillift.wire.generated.HandshakeFrame;
import org.chervillift.wire.generated.Node;
import org.junit.jupiter.api.Test;

class HandshakeTest {

    private static final SharedSecret SECRET =
            SharedSecret.of("a secret that is shared by the whole fleet");
    private static final SharedSecret OTHER =
            SharedSecret.of("a secret that some other fleet uses for itself");

    @Test
    void bothSidesEndWithMatchingSeals() throws StrangerException {
        Handshake dialler = Handshake.dialling(node("a"), SECRET);
        Handshake acceptor = Handshake.accepting(node("b"), SECRET);
        HandshakeFrame welcome = acceptor.take(dialler.firstFrame()).orElseThrow();
        acceptor.take(dialler.take(welcome).orElseThrow());
        byte[] payload = {1, 2, 3};
        byte[] tag = dialler.session().out().next(payload);
        assertThat(acceptor.session().in().accepts(tag, payload)).isTrue();
        assertThat(acceptor.session().peer().id()).isEqualTo("a");
        assertThat(dialler.session().peer().id()).isEqualTo("b");
    }

    @Test
    void eachSideRefusesAnotherSecret() throws StrangerException {
        Handshake dialler = Handshake.dialling(node("a"), SECRET);
        Handshake acceptor = Handshake.accepting(node("b"), OTHER);
        HandshakeFrame welcome = acceptor.take(dialler.firstFrame()).orElseThrow();
        assertThatThrownBy(() -> dialler.take(welcome)).isInstanceOf(StrangerException.class);

        Handshake stranger = Handshake.dialling(node("a"), OTHER);
        Handshake member = Handshake.accepting(node("b"), SECRET);
        member.take(stranger.firstFrame());
        Handshake otherAcceptor = Handshake.accepting(node("b"), OTHER);
        HandshakeFrame otherWelcome = otherAcceptor.take(stranger.firstFrame()).orElseThrow();
        HandshakeFrame wrongProof = stranger.take(otherWelcome).orElseThrow();
        assertThatThrownBy(() -> member.take(wrongProof)).isInstanceOf(StrangerException.class);
    }

    @Test
    void aReplayedProofIsRefused() throws StrangerException {
        Handshake dialler = Handshake.dialling(node("a"), SECRET);
        Handshake first = Handshake.accepting(node("b"), SECRET);
        HandshakeFrame welcome = first.take(dialler.firstFrame()).orElseThrow();
        HandshakeFrame proof = dialler.take(welcome).orElseThrow();
        Handshake second = Handshake.accepting(node("b"), SECRET);
        second.take(dialler.firstFrame());
        assertThatThrownBy(() -> second.take(proof)).isInstanceOf(StrangerException.class);
    }

    @Test
    void aReflectedProofIsRefused() throws StrangerException {
        Handshake member = Handshake.accepting(node("b"), SECRET);
        Handshake victim = Handshake.dialling(node("a"), SECRET);
        HandshakeFrame welcome = member.take(victim.firstFrame()).orElseThrow();
        HandshakeFrame reflected =
                HandshakeFrame.newBuilder()
                        .setProof(
                                org.chervillift.wire.generated.Proof.newBuilder()
                                        .setProof(welcome.getWelcome().getProof()))
                        .build();
        assertThatThrownBy(() -> member.take(reflected)).isInstanceOf(StrangerException.class);
    }

    @Test
    void framesThatAreDoubledCrossedOrChangedAreRefused() {
        byte[] one = {1};
        byte[] two = {2};
        Seal out = new Seal(SECRET.key());
        byte[] tagOne = out.next(one);
        byte[] tagTwo = out.next(two);
        assertThat(new Seal(SECRET.key()).accepts(tagTwo, two)).as("crossed").isFalse();
        assertThat(new Seal(SECRET.key()).accepts(tagOne, two)).as("changed").isFalse();
        Seal in = new Seal(SECRET.key());
        assertThat(in.accepts(tagOne, one)).isTrue();
        assertThat(in.accepts(tagOne, one)).as("doubled").isFalse();
    }

    private static Node node(String id) {
        return Node.newBuilder()
                .setId(id)
                .setIncarnation(1)
                .setDataCentre("dc1")
                .setListen("127.0.0.1:1000")
                .build();
    }
}
