package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.core.config.ApplyRules;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.config.VersionGuard;
import org.chervillift.core.keys.KeyAuthenticator;
import org.chervillift.core.keys.KeyDecision;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.daemon.internal.config.ConfigStore;
import org.chervillift.daemon.internal.keys.KeyMembershipService;
import org.chervillift.daemon.internal.keys.KeyOperations;
import org.chervillift.daemon.internal.keys.KeyRows;
import org.chervillift.http.Json;

/** One life of an entry VM: the real decisions and stores over a faulty network. */
final class SoakProcess {

    private static final Duration ROUND = Duration.ofSeconds(1);
    private static final List<RowKey> POLLED =
            List.of(ConfigRows.HEAD_KEY, KeyRows.RING_ROW, KeyRows.MEMBERS_ROW);

    private final String id;
    private final String dataCentre;
    private final SoakWorld world;
    private final ProcessClock clock;
    private final FakePlatform platform;
    private final KeyFreshness freshness;
    private final KeyAuthenticator gate;
    private final ConfigStore configs;
    private final KeyOperations keys;
    private final KeyMembershipService keeper;
    private final Map<Long, Instant> sentAt = new HashMap<>();
    private final Map<String, Stamp> received = new HashMap<>();
    private FleetConfig config = FleetConfig.EMPTY;
    private VersionGuard guard = VersionGuard.NONE;
    private long sequence;
    private boolean alive = true;
    private boolean leaving;

    SoakProcess(String id, String dataCentre, SoakWorld world, Random random) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.world = world;
        Duration offset = Duration.ofMillis(random.nextInt(40_000));
        double rate = 0.98 + random.nextDouble() * 0.04;
        clock = new ProcessClock(world.time(), offset, rate);
        platform =
                new FakePlatform(
                        world.store(), world.network(), dataCentre, clock, world::afterCommit);
        freshness = new KeyFreshness(id, world.rules(), clock.now());
        gate = new KeyAuthenticator(freshness);
        configs = new ConfigStore(platform, new ApplyRules(10), () -> clock.now().toEpochMilli());
        keys = new KeyOperations(platform, clock, freshness, gate);
        keeper =
                new KeyMembershipService(
                        id, dataCentre, platform, clock, freshness, world.rules(), random);
    }

    void start() {
        if (world.rules().promisesEnabled()) {
            keeper.start(fault -> {});
        }
        poll();
        beat();
    }

    /** Stops as a crash does. */
    void crash() {
        alive = false;
        clock.end();
    }

    /** Stops as planned: says so, leaves the members, and ends a little later. */
    void stop() {
        leaving = true;
        keeper.stop();
        clock.schedule(ROUND.multipliedBy(3), this::crash);
    }

    String id() {
        return id;
    }

    String dataCentre() {
        return dataCentre;
    }

    ProcessClock clock() {
        return clock;
    }

    ConfigStore configs() {
        return configs;
    }

    KeyOperations keys() {
        return keys;
    }

    long configVersion() {
        return config.version();
    }

    boolean alive() {
        return alive;
    }

    boolean leaving() {
        return leaving;
    }

    /** Returns whether the key of a request would be taken now. */
    boolean takes(String key) {
        return gate.authenticate(Optional.of(key), false, clock.now())
                instanceof KeyDecision.Authenticated;
    }

    boolean fresh() {
        return freshness.acceptsKeyedRequests(clock.now());
    }

    private void poll() {
        Instant asked = clock.now();
        platform.read(POLLED)
                .whenComplete(
                        (rows, fault) -> {
                            if (fault == null) {
                                adoptRows(rows, asked);
                            }
                            clock.schedule(ROUND, this::poll);
                        });
    }

    private void adoptRows(List<Row> rows, Instant asked) {
        KeyRows read = KeyRows.decode(rows);
        gate.adoptIfNewer(read.ring());
        freshness.onStoreRead(asked, read.ring().version(), read.members());
        rows.stream()
                .filter(r -> r.key().equals(ConfigRows.HEAD_KEY))
                .map(r -> Json.decode(r.value(), ConfigHead.class))
                .filter(h -> h.version() > guard.version())
                .forEach(this::fetch);
    }

    private void fetch(ConfigHead head) {
        platform.getObject(head.object())
                .thenAccept(
                        o -> o.map(t -> Json.decode(t, FleetConfig.class)).ifPresent(this::adopt));
    }

    private void adopt(FleetConfig offered) {
        String digest = ConfigDigest.of(offered);
        switch (guard.decideOnOffer(offered.version(), digest)) {
            case VersionGuard.Adopt a -> {
                guard = a.next();
                world.adopted(this, config.version(), offered.version(), digest);
                config = offered;
            }
            case VersionGuard.DigestConflict c -> world.broken("one version with two contents");
            case VersionGuard.Keep k -> {}
        }
    }

    private void beat() {
        sequence++;
        sentAt.put(sequence, clock.now());
        sentAt.remove(sequence - 60);
        for (SoakProcess peer : world.peersOf(this)) {
            Optional<Stamp> stamp =
                    Optional.ofNullable(received.get(peer.id())).filter(s -> s.life() == peer);
            Optional<PeerFreshness> told =
                    stamp.map(s -> freshness.createPeerFreshness(s.at(), clock.now()));
            long echo = stamp.map(Stamp::sequence).orElse(0L);
            Beat beat = new Beat(this, sequence, echo, told, gate.ring(), config);
            world.network()
                    .between(
                            dataCentre,
                            peer.dataCentre(),
                            () -> peer.clock.run(() -> peer.received(beat)));
        }
        clock.schedule(ROUND, this::beat);
    }

    private void received(Beat beat) {
        Stamp before = received.get(beat.from().id());
        if (before == null || before.life() != beat.from() || before.sequence() < beat.sequence()) {
            received.put(beat.from().id(), new Stamp(beat.from(), beat.sequence(), clock.now()));
        }
        gate.adoptIfNewer(beat.ring());
        adopt(beat.config());
        Instant sent = sentAt.get(beat.echo());
        boolean ours = before != null && before.life() == beat.from();
        if (beat.told().isPresent() && sent != null && ours) {
            freshness.onPeerFreshness(beat.from().id(), beat.told().get(), sent);
        }
    }

    /** The latest heartbeat that came from a life of a peer. */
    private record Stamp(SoakProcess life, long sequence, Instant at) {}

    /** A heartbeat, with the content that a peer would fetch. */
    private record Beat(
            SoakProcess from,
            long sequence,
            long echo,
            Optional<PeerFreshness> told,
            KeyRing ring,
            FleetConfig config) {}
}
