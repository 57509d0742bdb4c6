package org.chervillift.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.OutgoingRequest;
import org.chervillift.daemon.requests.SendResult;
import org.chervillift.daemon.requests.Sender;

/** Connections that go silent, refuse, deliver late and lose replies. */
final class SoakNetwork implements Sender {

    private static final int SILENT_OF_100 = 5;
    private static final int CUT_OF_100 = 1;
    private static final int SLOW_OF_100 = 1;
    private static final int MOST_LATENCY_MILLIS = 4;
    private static final Duration SLOW = Duration.ofSeconds(7);
    private static final Duration FIRST_BYTE = Duration.ofSeconds(1);

    private final SoakWorld world;
    private final SoakVm from;
    private final Random random;

    SoakNetwork(SoakWorld world, SoakVm from) {
        this.world = world;
        this.from = from;
        this.random = world.random();
    }

    @Override
    public void send(
            RoutingDecision target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant until,
            Consumer<SendResult> onResult) {
        Consumer<SendResult> once = once(onResult);
        Instant sentAt = from.now();
        boolean silent = !freshConnection && chance(SILENT_OF_100);
        Instant lostAt = silent ? earlier(until, sentAt.plus(FIRST_BYTE)) : until;
        from.schedule(
                Duration.between(sentAt, lostAt),
                () -> once.accept(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_TIMEOUT)));
        if (silent) {
            world.ledger().count("network.silent");
            return;
        }
        long tag = SoakWorld.tagOf(request);
        switch (target) {
            case RoutingDecision.ToUpstream u -> toUpstream(u.upstream().id(), tag, sentAt, once);
            case RoutingDecision.ToEntryVm e -> toEntryVm(e.entryVm(), tag, request, until, once);
            case RoutingDecision.NoRoom n -> throw new IllegalStateException("no target");
            case RoutingDecision.NoUpstream n -> throw new IllegalStateException("no target");
        }
    }

    private Consumer<SendResult> once(Consumer<SendResult> onResult) {
        AtomicBoolean told = new AtomicBoolean();
        return r ->
                from.execute(
                        () -> {
                            if (told.compareAndSet(false, true)) {
                                onResult.accept(r);
                            }
                        });
    }

    private void toUpstream(String id, long tag, Instant sentAt, Consumer<SendResult> once) {
        SoakUpstream upstream = world.upstream(id);
        if (!upstream.acceptsConnections()) {
            later(latency(), () -> once.accept(unreachable()));
            return;
        }
        Duration way = chance(SLOW_OF_100) ? SLOW : latency();
        later(
                way,
                () ->
                        upstream.arrive(
                                tag,
                                sentAt,
                                r -> later(latency(), () -> once.accept(maybeCut(r)))));
    }

    private void toEntryVm(
            EntryVm to,
            long tag,
            OutgoingRequest request,
            Instant until,
            Consumer<SendResult> once) {
        SoakVm vm = world.vm(to.id());
        if (!vm.isAlive()) {
            later(latency(), () -> once.accept(unreachable()));
            return;
        }
        world.ledger().count("relayed");
        later(
                latency(),
                () -> {
                    if (vm.isAlive()) {
                        vm.take(
                                tag,
                                world.relayedFacts(tag, until),
                                request,
                                a -> later(latency(), () -> once.accept(relayed(a))));
                    } else {
                        once.accept(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED));
                    }
                });
    }

    private static SendResult relayed(CallerResponse answer) {
        return switch (answer) {
            case null -> new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
            case CallerResponse.FromUpstream p -> new SendResult.Replied(p.reply());
            case CallerResponse.Generated s when s.verdict() instanceof Verdict.NotRun ->
                    new SendResult.NotRun(SendResult.Reason.BUSY, s.code());
            case CallerResponse.Generated s -> new SendResult.MayHaveRun(s.code());
        };
    }

    private SendResult maybeCut(SendResult result) {
        return chance(CUT_OF_100) ? new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED) : result;
    }

    private static SendResult unreachable() {
        return new SendResult.NotRun(SendResult.Reason.UNREACHABLE, ErrorCode.NO_UPSTREAM);
    }

    private void later(Duration delay, Runnable task) {
        world.scheduler().schedule(delay, task);
    }

    private Duration latency() {
        return Duration.ofMillis(1L + random.nextInt(MOST_LATENCY_MILLIS));
    }

    private boolean chance(int ofHundred) {
        return random.nextInt(100) < ofHundred;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }
}
