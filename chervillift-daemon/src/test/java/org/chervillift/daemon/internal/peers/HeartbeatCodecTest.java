package org.chervillift.daemon.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.core.membership.Heartbeat;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.MemberSummary;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.UpstreamLoad;
import org.chervillift.core.membership.Versions;
import org.chervillift.wire.generated.PeerMessage;
import org.junit.jupiter.api.Test;

class HeartbeatCodecTest {

    @Test
    void decodingReturnsTheEncodedHeartbeat() {
        NodeIdentity third = new NodeIdentity("vm-3", 9, "dc2", "192.0.2.3:7000");
        Heartbeat heartbeat =
                new Heartbeat(
                        5,
                        4,
                        new Versions(7, 8),
                        Optional.of(Duration.ofMillis(120)),
                        true,
                        List.of(UpstreamLoad.of("vm-9", 3)),
                        List.of(
                                new MemberSummary(
                                        third,
                                        MemberState.LEAVING,
                                        new Versions(1, 2),
                                        Duration.ofMillis(30))));
        PeerFreshness freshness =
                new PeerFreshness(
                        8,
                        3,
                        Duration.ofMillis(900),
                        Optional.of(Duration.ofMillis(800)),
                        false,
                        List.of(new PeerFreshness.Group("dc2", 3, Duration.ofMillis(70))));
        PeerMessage message = HeartbeatCodec.encode(heartbeat, Optional.of(freshness));
        assertThat(HeartbeatCodec.decode(message.getHeartbeat())).isEqualTo(heartbeat);
        assertThat(HeartbeatCodec.decodeFreshness(message.getHeartbeat())).hasValue(freshness);
    }

    @Test
    void agesAreRoundedUpAndValidityPeriodsAreRoundedDown() {
        Heartbeat heartbeat =
                new Heartbeat(
                        1,
                        0,
                        Versions.NONE,
                        Optional.of(Duration.ofNanos(1_000_001)),
                        false,
                        List.of(),
                        List.of());
        PeerFreshness freshness =
                new PeerFreshness(
                        0, 0, Duration.ofNanos(1_999_999), Optional.empty(), false, List.of());
        PeerMessage message = HeartbeatCodec.encode(heartbeat, Optional.of(freshness));
        assertThat(message.getHeartbeat().getReadAgeMillis()).isEqualTo(2);
        assertThat(message.getHeartbeat().getKeyFreshness().getFreshMillis()).isEqualTo(1);
    }
}
