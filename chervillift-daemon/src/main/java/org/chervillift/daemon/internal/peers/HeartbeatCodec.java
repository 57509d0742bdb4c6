package org.chervillift.daemon.internal.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.core.membership.Heartbeat;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.MemberSummary;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.UpstreamLoad;
import org.chervillift.core.membership.Versions;
import org.chervillift.wire.generated.KeyFreshness;
import org.chervillift.wire.generated.KeyGroup;
import org.chervillift.wire.generated.PeerMessage;

/** Converts heartbeats to and from protocol messages. */
public final class HeartbeatCodec {

    private static final int MAX_ENTRIES = 256;

    private HeartbeatCodec() {}

    /** Encodes a heartbeat, with the key freshness if there is one to send. */
    public static PeerMessage encode(Heartbeat heartbeat, Optional<PeerFreshness> freshness) {
        var message =
                org.chervillift.wire.generated.Heartbeat.newBuilder()
                        .setSequence(heartbeat.sequence())
                        .setEcho(heartbeat.echo())
                        .setConfigVersion(heartbeat.versions().config())
                        .setKeyRingVersion(heartbeat.versions().keyRing())
                        .setLeaving(heartbeat.leaving());
        heartbeat.readAge().ifPresent(a -> message.setReadAgeMillis(toMillisRoundedUp(a)));
        heartbeat.loads().forEach(l -> message.addLoads(encode(l)));
        heartbeat.members().forEach(m -> message.addMembers(encode(m)));
        freshness.ifPresent(f -> message.setKeyFreshness(encode(f)));
        return PeerMessage.newBuilder().setHeartbeat(message).build();
    }

    /**
     * Decodes the heartbeat of a message.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public static Heartbeat decode(org.chervillift.wire.generated.Heartbeat message) {
        if (message.getMembersCount() > MAX_ENTRIES || message.getLoadsCount() > MAX_ENTRIES) {
            throw new IllegalArgumentException("the heartbeat has too many entries");
        }
        Optional<Duration> readAge =
                message.hasReadAgeMillis()
                        ? Optional.of(fromUnsignedMillis(message.getReadAgeMillis()))
                        : Optional.empty();
        List<UpstreamLoad> loads = new ArrayList<>();
        message.getLoadsList()
                .forEach(l -> loads.add(new UpstreamLoad(l.getUpstream(), l.getRunning())));
        List<MemberSummary> members = new ArrayList<>();
        message.getMembersList().forEach(m -> members.add(decode(m)));
        return new Heartbeat(
                message.getSequence(),
                message.getEcho(),
                new Versions(message.getConfigVersion(), message.getKeyRingVersion()),
                readAge,
                message.getLeaving(),
                loads,
                members);
    }

    /** Decodes the key freshness of a message, if the message has one. */
    public static Optional<PeerFreshness> decodeFreshness(
            org.chervillift.wire.generated.Heartbeat message) {
        if (!message.hasKeyFreshness()) {
            return Optional.empty();
        }
        KeyFreshness freshness = message.getKeyFreshness();
        Optional<Duration> promise =
                freshness.hasPromiseMillis()
                        ? Optional.of(fromUnsignedMillis(freshness.getPromiseMillis()))
                        : Optional.empty();
        return Optional.of(
                new PeerFreshness(
                        freshness.getRingVersion(),
                        freshness.getMembersVersion(),
                        fromUnsignedMillis(freshness.getFreshMillis()),
                        promise,
                        freshness.getResigned(),
                        decodeGroups(freshness)));
    }

    private static List<PeerFreshness.Group> decodeGroups(KeyFreshness message) {
        if (message.getGroupsCount() > MAX_ENTRIES) {
            throw new IllegalArgumentException("the heartbeat has too many entries");
        }
        return message.getGroupsList().stream()
                .map(
                        g ->
                                new PeerFreshness.Group(
                                        g.getDataCentre(),
                                        g.getMembersVersion(),
                                        fromUnsignedMillis(g.getVouchedMillis())))
                .toList();
    }

    private static KeyGroup encode(PeerFreshness.Group group) {
        return KeyGroup.newBuilder()
                .setDataCentre(group.dataCentre())
                .setMembersVersion(group.membersVersion())
                .setVouchedMillis(toMillisRoundedDown(group.vouched()))
                .build();
    }

    private static KeyFreshness encode(PeerFreshness freshness) {
        KeyFreshness.Builder message =
                KeyFreshness.newBuilder()
                        .setRingVersion(freshness.ringVersion())
                        .setMembersVersion(freshness.membersVersion())
                        .setFreshMillis(toMillisRoundedDown(freshness.fresh()))
                        .setResigned(freshness.resigned());
        freshness.promise().ifPresent(p -> message.setPromiseMillis(toMillisRoundedDown(p)));
        freshness.groups().forEach(g -> message.addGroups(encode(g)));
        return message.build();
    }

    private static org.chervillift.wire.generated.UpstreamLoad encode(UpstreamLoad load) {
        return org.chervillift.wire.generated.UpstreamLoad.newBuilder()
                .setUpstream(load.upstreamHash())
                .setRunning(load.running())
                .build();
    }

    private static org.chervillift.wire.generated.MemberSummary encode(MemberSummary summary) {
        NodeIdentity node = summary.node();
        return org.chervillift.wire.generated.MemberSummary.newBuilder()
                .setId(node.id())
                .setIncarnation(node.incarnation())
                .setDataCentre(node.dataCentre())
                .setListen(node.address())
                .setState(encode(summary.state()))
                .setConfigVersion(summary.versions().config())
                .setKeyRingVersion(summary.versions().keyRing())
                .setHeardAgeMillis(toMillisRoundedUp(summary.heardAge()))
                .build();
    }

    private static MemberSummary decode(org.chervillift.wire.generated.MemberSummary message) {
        return new MemberSummary(
                new NodeIdentity(
                        message.getId(),
                        message.getIncarnation(),
                        message.getDataCentre(),
                        message.getListen()),
                decode(message.getState()),
                new Versions(message.getConfigVersion(), message.getKeyRingVersion()),
                fromUnsignedMillis(message.getHeardAgeMillis()));
    }

    private static org.chervillift.wire.generated.MemberState encode(MemberState state) {
        return switch (state) {
            case ALIVE -> org.chervillift.wire.generated.MemberState.MEMBER_STATE_ALIVE;
            case SUSPECTED -> org.chervillift.wire.generated.MemberState.MEMBER_STATE_SUSPECTED;
            case LEAVING -> org.chervillift.wire.generated.MemberState.MEMBER_STATE_LEAVING;
            case GONE -> org.chervillift.wire.generated.MemberState.MEMBER_STATE_GONE;
        };
    }

    private static MemberState decode(org.chervillift.wire.generated.MemberState state) {
        return switch (state) {
            case MEMBER_STATE_ALIVE -> MemberState.ALIVE;
            case MEMBER_STATE_LEAVING -> MemberState.LEAVING;
            case MEMBER_STATE_GONE -> MemberState.GONE;
            case MEMBER_STATE_SUSPECTED, MEMBER_STATE_UNSPECIFIED, UNRECOGNIZED ->
                    MemberState.SUSPECTED;
        };
    }

    /** Rounds an age up, so that data never appears newer than it is. */
    private static int toMillisRoundedUp(Duration age) {
        long millis = age.toMillis();
        long up = age.minusMillis(millis).isZero() ? millis : millis + 1;
        return Math.clamp(up, 0, Integer.MAX_VALUE);
    }

    /** Rounds a validity period down, so that nothing stays valid longer than it was granted. */
    private static int toMillisRoundedDown(Duration validity) {
        return Math.clamp(validity.toMillis(), 0, Integer.MAX_VALUE);
    }

    private static Duration fromUnsignedMillis(int unsignedMillis) {
        return Duration.ofMillis(Integer.toUnsignedLong(unsignedMillis));
    }
}
