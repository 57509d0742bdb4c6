package org.chervillift.bench.waves;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.fleet.MaintenanceControl;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.runtime.supervision.Scheduler;

/** The maintenance operations as one simulated process reaches them. */
final class SimControl implements MaintenanceControl {

    private final SimWorld world;
    private final SimNetwork network;
    private final Scheduler process;
    private final Variant variant;

    SimControl(SimWorld world, SimNetwork network, Scheduler process, Variant variant) {
        this.world = world;
        this.network = network;
        this.process = process;
        this.variant = variant;
    }

    @Override
    public CompletionStage<Boolean> drain(String vm, long fence) {
        return network.callPerhapsTwice(process, () -> world.drain(vm, effective(vm, fence)));
    }

    @Override
    public CompletionStage<Boolean> reboot(String vm, long fence) {
        return network.callPerhapsTwice(process, () -> world.reboot(vm, effective(vm, fence)));
    }

    @Override
    public CompletionStage<Boolean> restore(String vm, long fence) {
        return network.callPerhapsTwice(process, () -> world.restore(vm, effective(vm, fence)));
    }

    @Override
    public CompletionStage<List<VmStatus>> status(List<String> vms) {
        return network.call(process, () -> world.fleet().status(vms, process.now()));
    }

    /** Without fences every call counts as the newest. */
    private long effective(String vm, long fence) {
        return variant == Variant.NO_FENCE ? Math.max(fence, world.fleet().vm(vm).fence()) : fence;
    }
}
