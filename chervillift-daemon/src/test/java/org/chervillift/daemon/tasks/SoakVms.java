package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.runtime.supervision.Scheduler;

/** The calls of one process to the platform's VM service. */
final class SoakVms implements FleetVms {

    private static final Duration LATENCY = Duration.ofMillis(4);
    private static final double LISTED_SHARE = 0.7;
    private static final int MIN_SLOW_MILLIS = 300;
    private static final int MAX_SLOW_MILLIS = 2_000;

    private final SoakLink link;
    private final SoakFleet fleet;
    private final Scheduler base;
    private final Random random;

    SoakVms(SoakLink link, SoakFleet fleet, Scheduler base, Random random) {
        this.link = link;
        this.fleet = fleet;
        this.base = base;
        this.random = random;
    }

    @Override
    public CompletionStage<List<ListedFleetVm>> list() {
        return call(this::listNow, listDelay());
    }

    private Duration listDelay() {
        return link.has(SoakLink.Fault.VM_LISTS_SLOW)
                ? Duration.ofMillis(
                        MIN_SLOW_MILLIS + random.nextInt(MAX_SLOW_MILLIS - MIN_SLOW_MILLIS))
                : Duration.ZERO;
    }

    private List<ListedFleetVm> listNow() {
        if (link.has(SoakLink.Fault.VM_LISTS_EMPTY)) {
            return List.of();
        }
        return fleet.list().stream()
                .filter(
                        v ->
                                !link.has(SoakLink.Fault.VM_LISTS_PARTIAL)
                                        || random.nextDouble() < LISTED_SHARE)
                .toList();
    }

    @Override
    public CompletionStage<VmAnswer> move(String vm, String pool, Duty duty) {
        return call(() -> fleet.move(vm, pool, duty.fence()), Duration.ZERO);
    }

    @Override
    public CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty) {
        return call(() -> fleet.maintain(vm, duty.fence()), Duration.ZERO);
    }

    /** Carries out a call, whose answer arrives after a delay. */
    private <T> CompletionStage<T> call(Supplier<T> action, Duration delay) {
        CompletableFuture<T> odd = link.oddAnswer();
        if (odd != null) {
            return odd;
        }
        CompletableFuture<T> future = link.process().newFuture();
        base.schedule(
                LATENCY,
                () -> {
                    if (link.has(SoakLink.Fault.VM_CALLS_FAIL)) {
                        Throwable fault = new IllegalStateException("the platform fails");
                        link.process().complete(future, null, fault);
                    } else {
                        complete(future, action.get(), delay);
                    }
                });
        return future;
    }

    private <T> void complete(CompletableFuture<T> future, T value, Duration delay) {
        if (delay.isZero()) {
            link.process().complete(future, value, null);
        } else {
            base.schedule(delay, () -> link.process().complete(future, value, null));
        }
    }
}
