package org.chervillift.daemon.internal;

import io.activej.eventloop.Eventloop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;
import org.chervillift.daemon.internal.peers.EventLoop;
import org.chervillift.daemon.internal.peers.FleetContent;
import org.chervillift.daemon.internal.peers.FreshnessExchange;
import org.chervillift.daemon.internal.peers.PeerMetrics;
import org.chervillift.daemon.internal.peers.PeerService;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;

/** Creates the part that communicates with peers, and connects it to the rest of the daemon. */
final class PeerServiceFactory {

    private PeerServiceFactory() {}

    /** Creates the part; it may be started only if the settings contain a peer secret. */
    static PeerService create(
            Eventloop reactor,
            Scheduler scheduler,
            DaemonSettings settings,
            FleetFollower follower,
            KeyFreshness freshness,
            PrometheusRegistry registry) {
        long incarnation = System.currentTimeMillis();
        NodeIdentity self =
                new NodeIdentity(
                        settings.vmId(),
                        incarnation,
                        settings.dataCentre(),
                        settings.peers().listen().toString());
        EventLoop loop =
                new EventLoop(
                        scheduler,
                        reactor::execute,
                        new SplittableRandom(incarnation ^ settings.vmId().hashCode()));
        PeerService peers =
                new PeerService(
                        self,
                        settings.peers(),
                        MembershipSettings.DEFAULT,
                        loop,
                        new FollowerFleetContent(follower),
                        new KeyFreshnessExchange(freshness));
        follower.setListener(new PeerServiceNotifier(peers, follower));
        PeerMetrics.register(registry, peers::counters, peers.membership());
        return peers;
    }

    private static Versions heldVersions(FleetFollower follower) {
        FleetSnapshot snapshot = follower.snapshot();
        return new Versions(snapshot.config().version(), snapshot.keys().version());
    }

    /** Passes the results of platform reads to the peer part. */
    private record PeerServiceNotifier(PeerService peers, FleetFollower follower)
            implements PlatformReadListener {

        @Override
        public void onStoreRead(Instant startedAt) {
            peers.onStoreRead(heldVersions(follower), startedAt);
        }

        @Override
        public void onVmListRead(List<ListedVm> vms, Instant startedAt) {
            peers.onVmListRead(vms, startedAt);
        }
    }

    private record KeyFreshnessExchange(KeyFreshness freshness) implements FreshnessExchange {

        @Override
        public PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now) {
            return freshness.createPeerFreshness(echoReceivedAt, now);
        }

        @Override
        public void freshnessReceived(String peer, PeerFreshness received, Instant echoSentAt) {
            freshness.onPeerFreshness(peer, received, echoSentAt);
        }
    }

    /** Encodes and adopts the follower's content; caches the encoded configuration by version. */
    private static final class FollowerFleetContent implements FleetContent {

        private final FleetFollower follower;
        private byte[] encodedConfig = {};
        private long encodedConfigVersion;

        FollowerFleetContent(FleetFollower follower) {
            this.follower = follower;
        }

        @Override
        public Versions heldVersions() {
            return PeerServiceFactory.heldVersions(follower);
        }

        @Override
        public Optional<byte[]> encode(ContentKind kind) {
            if (heldVersions().of(kind) == 0) {
                return Optional.empty();
            }
            return Optional.of(
                    switch (kind) {
                        case CONFIG -> encodeConfig(follower.snapshot().config());
                        case KEY_RING -> toJsonBytes(follower.snapshot().keys());
                    });
        }

        @Override
        public void offer(ContentKind kind, byte[] content) {
            String text = new String(content, StandardCharsets.UTF_8);
            if (kind == ContentKind.CONFIG) {
                follower.adoptIfNewer(Json.decode(text, FleetConfig.class));
            } else {
                follower.adoptIfNewer(Json.decode(text, KeyRing.class));
            }
        }

        @Override
        public CompletionStage<Void> refreshFromStore() {
            return follower.refresh();
        }

        private byte[] encodeConfig(FleetConfig config) {
            if (config.version() != encodedConfigVersion) {
                encodedConfig = toJsonBytes(config);
                encodedConfigVersion = config.version();
            }
            return encodedConfig;
        }

        private static byte[] toJsonBytes(Object value) {
            return Json.encode(value).getBytes(StandardCharsets.UTF_8);
        }
    }
}
