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
        return call(this::listNow);
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
        return call(() -> fleet.move(vm, pool, duty.fence()));
    }

    @Override
    public CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty) {
        return call(() -> fleet.maintain(vm, duty.fence()));
    }

    private <T> CompletionStage<T> call(Supplier<T> action) {
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
                        link.process().complete(future, action.get(), null);
                    }
                });
        return future;
    }
}
