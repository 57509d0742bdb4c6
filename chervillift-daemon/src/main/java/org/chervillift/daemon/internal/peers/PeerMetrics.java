package org.chervillift.daemon.internal.peers;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.Membership;
import org.chervillift.wire.LinkCounters;

/** Registers the metrics of peer links, traffic, content versions and members. */
public final class PeerMetrics {

    private PeerMetrics() {}

    /** Registers the metrics; their values are read at each scrape. */
    public static void register(
            PrometheusRegistry registry, Supplier<LinkCounters> counters, Membership membership) {
        GaugeWithCallback.builder()
                .name("chervillift_peer_links")
                .help("Links to peers that are up.")
                .callback(c -> c.call(counters.get().linked()))
                .register(registry);
        registerCounters(registry, counters);
        GaugeWithCallback.builder()
                .name("chervillift_version")
                .help("Version in force in this process, by kind.")
                .labelNames("kind")
                .callback(
                        c -> {
                            for (ContentKind k : ContentKind.values()) {
                                c.call(membership.held().of(k), labelValue(k));
                            }
                        })
                .register(registry);
        GaugeWithCallback.builder()
                .name("chervillift_members")
                .help("Other members that this process knows, by state.")
                .labelNames("state")
                .callback(
                        c -> {
                            for (MemberState s : MemberState.values()) {
                                c.call(count(membership, s), labelValue(s));
                            }
                        })
                .register(registry);
    }

    private static void registerCounters(
            PrometheusRegistry registry, Supplier<LinkCounters> counters) {
        CounterWithCallback.builder()
                .name("chervillift_peer_bytes_total")
                .help("Bytes of frames to and from peers.")
                .labelNames("direction")
                .callback(
                        c -> {
                            c.call(counters.get().bytesSent(), "sent");
                            c.call(counters.get().bytesReceived(), "received");
                        })
                .register(registry);
        CounterWithCallback.builder()
                .name("chervillift_peer_frames_total")
                .help("Frames to and from peers.")
                .labelNames("direction")
                .callback(
                        c -> {
                            c.call(counters.get().framesSent(), "sent");
                            c.call(counters.get().framesReceived(), "received");
                        })
                .register(registry);
        CounterWithCallback.builder()
                .name("chervillift_peer_faults_total")
                .help("Links refused, links closed for silence, and messages dropped.")
                .labelNames("fault")
                .callback(
                        c -> {
                            c.call(counters.get().refused(), "refused");
                            c.call(counters.get().silent(), "silent");
                            c.call(counters.get().dropped(), "dropped");
                        })
                .register(registry);
    }

    private static long count(Membership membership, MemberState state) {
        return membership.members().stream().filter(m -> m.state() == state).count();
    }

    private static String labelValue(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
