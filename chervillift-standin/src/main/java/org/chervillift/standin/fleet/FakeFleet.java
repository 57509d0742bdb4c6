package org.chervillift.standin.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.fleet.VmStatus;

/**
 * VMs in memory that can be drained, rebooted and let in again, and that can fail.
 *
 * <p>It refuses old fences and nothing else: a reboot under load cuts what runs, and counts it.
 */
public final class FakeFleet {

    private final SortedMap<String, FakeVm> vms = new TreeMap<>();
    private final RebootBehaviour reboots;
    private long cutRequests;
    private long rebootCount;

    /** Creates a fleet without VMs. */
    public FakeFleet(RebootBehaviour reboots) {
        this.reboots = reboots;
    }

    /** Says how a reboot goes. */
    @FunctionalInterface
    public interface RebootBehaviour {
        /** Returns how long the reboot of a VM takes. */
        Duration duration(String vm, Instant now);
    }

    /** Adds a VM that takes work. */
    public void add(String vm) {
        vms.computeIfAbsent(vm, FakeVm::new);
    }

    /** Returns a VM. */
    public FakeVm vm(String id) {
        FakeVm vm = vms.get(id);
        if (vm == null) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "VM " + id + ".");
        }
        return vm;
    }

    /** Tells a VM to take no new work; returns false if the fence is refused. */
    public boolean drain(String id, long fence) {
        FakeVm vm = vm(id);
        if (!vm.pass(fence)) {
            return false;
        }
        vm.setAccepting(false);
        return true;
    }

    /** Reboots a VM once under a fence; returns false if the fence is refused. */
    public boolean reboot(String id, long fence, Instant now) {
        FakeVm vm = vm(id);
        if (!vm.pass(fence)) {
            return false;
        }
        if (!vm.isRebootedUnder(fence)) {
            rebootCount++;
            cutRequests += vm.reboot(fence, now, now.plus(reboots.duration(id, now)));
        }
        return true;
    }

    /** Lets a VM take work again; returns false if the fence is refused. */
    public boolean restore(String id, long fence, Instant now) {
        FakeVm vm = vm(id);
        if (!vm.isUp(now) || !vm.pass(fence)) {
            return false;
        }
        vm.setAccepting(true);
        return true;
    }

    /** Returns the state of the VMs that are up. */
    public List<VmStatus> status(Collection<String> ids, Instant now) {
        List<VmStatus> answers = new ArrayList<>();
        for (String id : ids) {
            FakeVm vm = vms.get(id);
            if (vm != null && vm.isUp(now)) {
                answers.add(vm.status(now));
            }
        }
        return answers;
    }

    /** Returns how many requests were cut by reboots. */
    public long cutRequests() {
        return cutRequests;
    }

    /** Returns how many reboots were carried out. */
    public long rebootCount() {
        return rebootCount;
    }
}
