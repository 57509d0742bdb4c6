package org.chervillift.daemon.internal.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the peer services of several daemons over real links. */
class PeerServiceTest {

    private static final String SECRET = "a secret that is shared by the whole fleet";
    private static final long TIMEOUT_SECONDS = 30;

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final List<PeerService> services = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (PeerService p : services) {
            onLoop(p::stop).toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        loop.shutdown();
    }

    @Test
    void newVmFetchesConfigurationAndKeysFromAPeerWhileTheStoreIsDown() throws Exception {
        Content existing = new Content(new Versions(12, 7));
        Content fresh = new Content(Versions.NONE);
        PeerService existingService = start("old", List.of(), existing);
        start("new", List.of(existingService.listenAddress().orElseThrow()), fresh);
        await(() -> fresh.heldVersions().equals(new Versions(12, 7)));
        assertThat(existing.heldVersions()).isEqualTo(new Versions(12, 7));
    }

    private PeerService start(String id, List<HostPort> seeds, Content content) throws Exception {
        HostPort listen = new HostPort("127.0.0.1", 0);
        PeerService service =
                new PeerService(
                        new NodeIdentity(id, 1, "dc1", listen.toString()),
                        new PeerSettings(listen, seeds, SECRET),
                        MembershipSettings.DEFAULT,
                        new EventLoop(new LoopScheduler(), loop, new SplittableRandom(1)),
                        content,
                        new NoFreshness());
        services.add(service);
        onLoop(() -> service.start(e -> {}))
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return service;
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> task)
            throws InterruptedException, ExecutionException {
        return loop.submit(task).get();
    }

    private void await(BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!onLoop(condition::getAsBoolean)) {
            assertThat(System.nanoTime()).isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Content that consists of its version only; every store read fails. */
    private static final class Content implements FleetContent {

        private Versions held;

        Content(Versions held) {
            this.held = held;
        }

        @Override
        public Versions heldVersions() {
            return held;
        }

        @Override
        public Optional<byte[]> encode(ContentKind kind) {
            return Optional.of(Long.toString(held.of(kind)).getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void offer(ContentKind kind, byte[] content) {
            long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
            boolean config = kind == ContentKind.CONFIG;
            held = held.max(config ? new Versions(version, 0) : new Versions(0, version));
        }

        @Override
        public CompletionStage<Void> refreshFromStore() {
            return CompletableFuture.failedFuture(new IllegalStateException("down"));
        }
    }

    private static final class NoFreshness implements FreshnessExchange {

        @Override
        public PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now) {
            return new PeerFreshness(0, 0, Duration.ZERO, Optional.empty(), false, List.of());
        }

        @Override
        public void freshnessReceived(String peer, PeerFreshness told, Instant echoSentAt) {}
    }

    private final class LoopScheduler implements Scheduler {

        @Override
        public Instant now() {
            return Instant.EPOCH.plusNanos(System.nanoTime());
        }

        @Override
        public Cancellation schedule(Duration delay, Runnable task) {
            var future = loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        }
    }
}
