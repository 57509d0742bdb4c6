package org.chervillift.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.LinkSettings;
import org.chervillift.wire.PeerIdentity;
import org.chervillift.wire.SharedSecret;
import org.chervillift.wire.generated.Node;
import org.junit.jupiter.api.Test;

class LinkTableTest {

    private static final HostPort ADDRESS = HostPort.parse("127.0.0.1:1000");

    @Test
    void bothSidesKeepTheLinkThatTheLowerIdentifierDialled() {
        for (boolean ownFirst : new boolean[] {true, false}) {
            assertThat(dialledBySelfIsKept("a", "b", ownFirst)).isTrue();
            assertThat(dialledBySelfIsKept("b", "a", ownFirst)).isFalse();
        }
    }

    @Test
    void aLaterLifeTakesThePlaceAndAnEarlierOneDoesNot() {
        LinkTable table = new LinkTable("a");
        LinkHandler second = link();
        table.add(link(), session("b", 1, true));
        LinkTable.Change change = table.add(second, session("b", 2, false));
        assertThat(change.newLife()).isTrue();
        assertThat(change.replacedLife()).hasValue(new PeerIdentity("b", 1, "dc1"));
        table.add(link(), session("b", 1, true));
        assertThat(table.byId("b")).isSameAs(second);
    }

    private static boolean dialledBySelfIsKept(String self, String peer, boolean ownFirst) {
        LinkTable table = new LinkTable(self);
        LinkHandler first = link();
        LinkHandler second = link();
        table.add(first, session(peer, 1, ownFirst));
        table.add(second, session(peer, 1, !ownFirst));
        return table.byId(peer) == (ownFirst ? first : second);
    }

    private static Session session(String peer, long life, boolean dialledBySelf) {
        return new Session(new PeerIdentity(peer, life, "dc1"), ADDRESS, dialledBySelf, null, null);
    }

    private static LinkHandler link() {
        SharedSecret secret = SharedSecret.of("a secret that is shared by the whole fleet");
        Handshake handshake = Handshake.accepting(Node.getDefaultInstance(), secret);
        return new LinkHandler(handshake, false, LinkSettings.defaults(), new Counters(), null);
    }
}
