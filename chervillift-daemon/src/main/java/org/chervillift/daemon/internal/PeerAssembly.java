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

/** Puts the part that talks to peers together with the rest of the daemon. */
final class PeerAssembly {

    private PeerAssembly() {}

    /** Returns the part; it is to be started only if the settings name a secret. */
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
                        new FollowerContent(follower),
                        new KeyExchange(freshness));
        follower.listen(new PeerNews(peers, follower));
        PeerMetrics.register(registry, peers::counters, peers.membership());
        return peers;
    }

    private static Versions held(FleetFollower follower) {
        FleetView view = follower.view();
        return new Versions(view.config().version(), view.keys().version());
    }

    /** Passes what the platform answers to membership. */
    private record PeerNews(PeerService peers, FleetFollower follower) implements FollowerListener {

        @Override
        public void storeRead(Instant startedAt) {
            peers.onStoreRead(held(follower), startedAt);
        }

        @Override
        public void listRead(List<ListedVm> vms, Instant startedAt) {
            peers.onVmListRead(vms, startedAt);
        }
    }

    private record KeyExchange(KeyFreshness freshness) implements FreshnessExchange {

        @Override
        public PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now) {
            return freshness.createPeerFreshness(echoReceivedAt, now);
        }

        @Override
        public void freshnessReceived(String peer, PeerFreshness told, Instant echoSentAt) {
            freshness.onPeerFreshness(peer, told, echoSentAt);
        }
    }

    /** What the follower holds, encoded once a version. */
    private static final class FollowerContent implements FleetContent {

        private final FleetFollower follower;
        private byte[] encodedConfig = {};
        private long encodedVersion;

        FollowerContent(FleetFollower follower) {
            this.follower = follower;
        }

        @Override
        public Versions heldVersions() {
            return PeerAssembly.held(follower);
        }

        @Override
        public Optional<byte[]> encode(ContentKind kind) {
            if (heldVersions().of(kind) == 0) {
                return Optional.empty();
            }
            return Optional.of(
                    switch (kind) {
                        case CONFIG -> config(follower.view().config());
                        case KEY_RING -> bytes(follower.view().keys());
                    });
        }

        @Override
        public void offer(ContentKind kind, byte[] content) {
            String text = new String(content, StandardCharsets.UTF_8);
            if (kind == ContentKind.CONFIG) {
                follower.adopt(Json.decode(text, FleetConfig.class));
            } else {
                follower.adopt(Json.decode(text, KeyRing.class));
            }
        }

        @Override
        public CompletionStage<Void> refreshFromStore() {
            return follower.refresh();
        }

        private byte[] config(FleetConfig config) {
            if (config.version() != encodedVersion) {
                encodedConfig = bytes(config);
                encodedVersion = config.version();
            }
            return encodedConfig;
        }

        private static byte[] bytes(Object value) {
            return Json.encode(value).getBytes(StandardCharsets.UTF_8);
        }
    }
}
