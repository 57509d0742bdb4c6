package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.WorkerLoad;
import org.chervillift.core.tasks.vms.FleetWavePlanner.Decision;
import org.chervillift.core.tasks.vms.FleetWavePlanner.Fleet;
import org.chervillift.core.tasks.vms.FleetWavePlanner.Progress;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.junit.jupiter.api.Test;

class FleetWavePlannerTest {

    private static final long VM_MILLI_CORES = 64_000;
    private static final long DURATION_MILLIS = 27_000;
    private static final WorkerLoad BUSY = new WorkerLoad(3, 0, 30_000, 0);

    private final Map<String, VmView> vms = new HashMap<>();
    private final Map<String, PoolLoad> pools = new HashMap<>();
    private final Set<String> draining = new HashSet<>();

    private void vm(String name, String pool, Status status, WorkerLoad load) {
        vm(name, pool, status, load, PendingOrder.NONE);
    }

    private void vm(String name, String pool, Status status, WorkerLoad load, PendingOrder order) {
        ListedFleetVm listed =
                new ListedFleetVm(
                        name,
                        pool,
                        status,
                        "dc",
                        List.of(),
                        new Resources(VM_MILLI_CORES, 1, 0),
                        "w" + name);
        vms.put(name, new VmView(listed, load, order));
    }

    private Decision decide(Set<String> maintained, int cap, long now) {
        return decide(new ArrayList<>(vms.keySet()), Set.of(), maintained, cap, now);
    }

    private Decision decide(
            List<String> ordered, Set<String> gone, Set<String> maintained, int cap, long now) {
        WaveOrder order = new WaveOrder(1, ordered, DURATION_MILLIS, cap);
        Fleet fleet = new Fleet(vms, pools, Set.of("standby"), gone, draining, 2_000);
        return FleetWavePlanner.decide(new Progress(order, 0, maintained), fleet, now);
    }

    @Test
    void noMoreVmsThanTheCapAreDownAtOnce() {
        for (int i = 0; i < 12; i++) {
            vm("vm" + i, "p", i < 2 ? Status.MAINTENANCE : Status.UP, WorkerLoad.IDLE);
        }
        Decision decision = decide(Set.of("vm0", "vm1"), 3, DURATION_MILLIS);
        assertThat(decision.deadlineAtRisk()).isTrue();
        assertThat(decision.maintain()).hasSize(1);
    }

    @Test
    void aWaveIsCompletedAlthoughOneOfItsVmsIsMovingToAnotherPool() {
        vm("a", "p", Status.UP, WorkerLoad.IDLE, PendingOrder.MOVE);
        assertThat(decide(Set.of("a"), 1, 0).completed()).isTrue();
        vm("a", "p", Status.UP, WorkerLoad.IDLE, PendingOrder.MAINTENANCE);
        assertThat(decide(Set.of("a"), 1, 0).completed()).isFalse();
    }

    @Test
    void aVmWithAPendingMaintenanceOrderCountsAsDown() {
        vm("a", "p", Status.UP, WorkerLoad.IDLE, PendingOrder.MAINTENANCE);
        vm("b", "p", Status.UP, WorkerLoad.IDLE);
        assertThat(decide(Set.of(), 1, DURATION_MILLIS).maintain()).isEmpty();
    }

    @Test
    void vmsOfAShortPoolWaitUntilTheDeadlineIsAtRisk() {
        vm("a", "p", Status.UP, BUSY);
        pools.put("p", new PoolLoad(VM_MILLI_CORES, 1_000, VM_MILLI_CORES, 0));
        assertThat(decide(Set.of(), 1, 0).drain()).isEmpty();
        Decision late = decide(Set.of(), 1, DURATION_MILLIS - 1_000);
        assertThat(late.drain()).containsExactly("a");
        assertThat(late.deadlineAtRisk()).isTrue();
    }

    @Test
    void standbyVmsWaitWhileAnyPoolIsShort() {
        vm("a", "standby", Status.UP, WorkerLoad.IDLE);
        pools.put("p", new PoolLoad(VM_MILLI_CORES, 1_000, VM_MILLI_CORES, 0));
        assertThat(decide(Set.of(), 1, 0).maintain()).isEmpty();
        pools.put("p", new PoolLoad(VM_MILLI_CORES, 0, VM_MILLI_CORES, 0));
        assertThat(decide(Set.of(), 1, 0).maintain()).containsExactly("a");
    }

    /** Only few tasks of a step may be down at once, so these VMs cannot all be drained last. */
    @Test
    void vmsWithLongRunningTasksAreDrainedWhileIdleVmsTakeAllSlots() {
        for (int i = 0; i < 10; i++) {
            vm("idle" + i, "q", Status.UP, WorkerLoad.IDLE);
            vm("lasting" + i, "p", Status.UP, new WorkerLoad(0, 1, 5_000, 0));
        }
        pools.put("p", new PoolLoad(50_000, 0, 10 * VM_MILLI_CORES, 0));
        Decision decision = decide(Set.of(), 2, 0);
        assertThat(decision.maintain()).hasSize(2).allMatch(v -> v.startsWith("idle"));
        assertThat(decision.drain()).hasSize(3).allMatch(v -> v.startsWith("lasting"));
    }

    /** The task that was stopped makes its pool short, and went back to the VM again and again. */
    @Test
    void aVmStaysDrainedWhileTheTaskThatWasStoppedOnItWaits() {
        vm("a", "p", Status.UP, WorkerLoad.IDLE);
        vm("b", "q", Status.MAINTENANCE, WorkerLoad.IDLE);
        draining.add("a");
        pools.put("p", new PoolLoad(5_000, 5_000, 10 * VM_MILLI_CORES, 0));

        Decision withoutSlot = decide(Set.of("b"), 1, 0);
        assertThat(withoutSlot.maintain()).isEmpty();
        assertThat(withoutSlot.drain()).containsExactly("a");
        vm("b", "q", Status.UP, WorkerLoad.IDLE);
        assertThat(decide(Set.of("b"), 1, 0).maintain()).containsExactly("a");
    }

    @Test
    void aWaveIsCompletedOnlyOnceAllVmsAreMaintainedAndUpAgain() {
        vm("a", "p", Status.MAINTENANCE, WorkerLoad.IDLE);
        vm("b", "p", Status.UP, WorkerLoad.IDLE);
        assertThat(decide(Set.of("a"), 2, 0).completed()).isFalse();
        assertThat(decide(Set.of("a", "b"), 2, 0).completed()).isFalse();
        vm("a", "p", Status.UP, WorkerLoad.IDLE);
        assertThat(decide(Set.of("a", "b"), 2, 0).completed()).isTrue();
    }

    @Test
    void aVmMissingFromAListMayBeDownForItsMaintenance() {
        vm("a", "p", Status.UP, WorkerLoad.IDLE);
        List<String> both = List.of("a", "b");
        assertThat(decide(both, Set.of(), Set.of("b"), 1, DURATION_MILLIS).maintain()).isEmpty();
        assertThat(decide(both, Set.of("b"), Set.of("b"), 1, DURATION_MILLIS).maintain())
                .containsExactly("a");
    }

    @Test
    void aWaveIsNotCompletedUntilAMissingVmIsGone() {
        vm("a", "p", Status.UP, WorkerLoad.IDLE);
        List<String> both = List.of("a", "b");
        assertThat(decide(both, Set.of(), Set.of("a"), 1, 0).completed()).isFalse();
        assertThat(decide(both, Set.of("b"), Set.of("a"), 1, 0).completed()).isTrue();
    }
}
