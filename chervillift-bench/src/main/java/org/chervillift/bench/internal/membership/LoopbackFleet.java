package org.chervillift.bench.internal.membership;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.chervillift.api.config.PeerFreshness;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.UpstreamLoad;
import org.chervillift.core.membership.Versions;
import org.chervillift.daemon.internal.peers.EventLoop;
import org.chervillift.daemon.internal.peers.FleetContent;
import org.chervillift.daemon.internal.peers.FreshnessExchange;
import org.chervillift.daemon.internal.peers.PeerService;
import org.chervillift.daemon.internal.peers.PeerSettings;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Scheduler;

/** Peer parts of many processes in one program, over real links on the loopback. */
final class LoopbackFleet implements AutoCloseable {

    private static final String SECRET = "the secret of the measurement of membership";
    private static final long WARM_UP_SECONDS = 12;
    private static final long MEASURE_SECONDS = 12;
    private static final long STOP_SECONDS = 20;
    private static final int LOADS = 12;
    private static final double PERCENT = 100;

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final List<PeerService> parts = new ArrayList<>();
    private final List<ListedVm> listed = new ArrayList<>();

    LoopbackFleet(int dataCentres, int processes, long seed) {
        for (int i = 0; i < processes; i++) {
            start("entry-" + i, "dc-" + i % dataCentres, seed + i);
        }
        onLoop(
                () -> {
                    parts.forEach(p -> p.onVmListRead(listed, now()));
                    return true;
                });
    }

    /**
     * The cost of control a process.
     *
     * @param cpuPercent processor time in percent of a core, all threads of the program together
     * @param bytes bytes of frames a second, in and out
     * @param links links that are up
     */
    record Cost(double cpuPercent, double bytes, double links) {}

    Cost measure() {
        sleep(WARM_UP_SECONDS);
        long bytes = bytes();
        long cpu = processNanos();
        sleep(MEASURE_SECONDS);
        double nodeSeconds = (double) MEASURE_SECONDS * parts.size();
        double cpuPercent =
                PERCENT * (processNanos() - cpu) / TimeUnit.SECONDS.toNanos(1) / nodeSeconds;
        double links = parts.stream().mapToInt(p -> p.counters().linked()).average().orElse(0);
        return new Cost(cpuPercent, (bytes() - bytes) / nodeSeconds, links);
    }

    @Override
    public void close() {
        List<CompletionStage<Void>> stops = new ArrayList<>();
        parts.forEach(p -> stops.add(onLoop(p::stop)));
        CompletableFuture<?>[] all =
                stops.stream()
                        .map(CompletionStage::toCompletableFuture)
                        .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(all).orTimeout(STOP_SECONDS, TimeUnit.SECONDS).join();
        loop.shutdown();
    }

    private void start(String id, String dataCentre, long seed) {
        HostPort any = new HostPort("127.0.0.1", 0);
        PeerService part =
                new PeerService(
                        new NodeIdentity(id, 1, dataCentre, any.toString()),
                        new PeerSettings(any, List.of(), SECRET),
                        MembershipSettings.DEFAULT,
                        new EventLoop(new LoopScheduler(), loop, new SplittableRandom(seed)),
                        new FixedContent(),
                        new FixedFreshness());
        onLoop(() -> part.start(e -> {})).toCompletableFuture().join();
        List<UpstreamLoad> loads = new ArrayList<>();
        for (int i = 0; i < LOADS; i++) {
            loads.add(UpstreamLoad.of("worker-" + i, i));
        }
        onLoop(
                () -> {
                    part.onLoadsChanged(loads);
                    return true;
                });
        String address = part.listenAddress().orElseThrow().toString();
        parts.add(part);
        listed.add(new ListedVm(id, ListedVm.Role.ENTRY, dataCentre, address, address, false));
    }

    private long bytes() {
        return parts.stream()
                .mapToLong(p -> p.counters().bytesSent() + p.counters().bytesReceived())
                .sum();
    }

    private static long processNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static Instant now() {
        return Instant.EPOCH.plusNanos(System.nanoTime());
    }

    private static void sleep(long seconds) {
        try {
            TimeUnit.SECONDS.sleep(seconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private <T> T onLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new CompletionException(e);
        }
    }

    private final class LoopScheduler implements Scheduler {

        @Override
        public Instant now() {
            return LoopbackFleet.now();
        }

        @Override
        public Cancellation schedule(Duration delay, Runnable task) {
            var future = loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        }
    }

    private static final class FixedContent implements FleetContent {

        @Override
        public Versions heldVersions() {
            return new Versions(500, 500);
        }

        @Override
        public Optional<byte[]> encode(ContentKind kind) {
            return Optional.empty();
        }

        @Override
        public void offer(ContentKind kind, byte[] content) {}

        @Override
        public CompletionStage<Void> refreshFromStore() {
            return CompletableFuture.completedFuture(null);
        }
    }

    private static final class FixedFreshness implements FreshnessExchange {

        @Override
        public PeerFreshness freshnessToSend(Instant echoReceivedAt, Instant now) {
            return TypicalFreshness.create();
        }

        @Override
        public void freshnessReceived(String peer, PeerFreshness told, Instant echoSentAt) {}
    }
}
