package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Transaction;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.standin.fleet.FakeFleet;

/** The VMs as they are, and what the platform lists of them. */
final class SimWorld {

    private final Scheduler clock;
    private final SimStore store;
    private final FakeFleet fleet;
    private final Map<String, VmSpec> specs = new TreeMap<>();

    SimWorld(Scheduler clock, SimStore store, FakeFleet fleet) {
        this.clock = clock;
        this.store = store;
        this.fleet = fleet;
    }

    /** Adds pools and VMs, all in service. */
    void create(List<Pool> pools, List<VmSpec> vms) {
        for (Pool p : pools) {
            put(Write.put(PoolRow.key(p.name()), Json.encode(PoolRow.first(p))));
        }
        for (VmSpec v : vms) {
            specs.put(v.id(), v);
            fleet.add(v.id());
            list(v.id(), false);
            put(Write.put(VmRow.key(v.id()), Json.encode(VmRow.first(v, clock.now()))));
        }
    }

    private void put(Write write) {
        List<Condition> absent = List.of(new Condition(write.key(), 0));
        String token = UUID.randomUUID().toString();
        store.commit(new Transaction(token, absent, List.of(write)), clock.now());
    }

    FakeFleet fleet() {
        return fleet;
    }

    List<String> vmIds() {
        return List.copyOf(specs.keySet());
    }

    /** Returns the VMs of the rack that a VM stands in. */
    List<String> rackOf(String vm) {
        String rack = specs.get(vm).rack();
        return specs.values().stream().filter(s -> s.rack().equals(rack)).map(VmSpec::id).toList();
    }

    boolean drain(String vm, long fence) {
        boolean done = fleet.drain(vm, fence);
        if (done && fleet.vm(vm).isUp(clock.now())) {
            list(vm, true);
        }
        return done;
    }

    boolean reboot(String vm, long fence) {
        return fleet.reboot(vm, fence, clock.now());
    }

    boolean restore(String vm, long fence) {
        boolean done = fleet.restore(vm, fence, clock.now());
        if (done) {
            list(vm, false);
        }
        return done;
    }

    /** Lets a VM fail, and come back after a time. */
    void fail(String vm, Duration time) {
        Instant now = clock.now();
        fleet.vm(vm).fail(now);
        store.hide(vm, now);
        clock.schedule(time, () -> recover(vm));
    }

    private void recover(String vm) {
        fleet.vm(vm).recover();
        list(vm, !fleet.vm(vm).isAccepting(clock.now()));
    }

    private void list(String vm, boolean leaving) {
        VmSpec s = specs.get(vm);
        store.show(
                new ListedVm(vm, ListedVm.Role.UPSTREAM, s.dataCentre(), s.address(), "", leaving),
                clock.now());
    }
}
