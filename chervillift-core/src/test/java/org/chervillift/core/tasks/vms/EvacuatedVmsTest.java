package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
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
import org.chervillift.core.tasks.vms.PoolPlanner.Move;
import org.junit.jupiter.api.Test;

/** Tests what happens to the VMs of an evacuated data centre. */
class EvacuatedVmsTest {

    private static final long VM_MILLI_CORES = 64_000;
    private static final Set<String> STANDBY = Set.of("standby");
    private static final WorkerLoad BUSY = new WorkerLoad(1, 0, VM_MILLI_CORES, 0);
    private static final WorkerLoad SERVICE = new WorkerLoad(0, 1, 1_000, 0);

    private final List<VmView> vms = new ArrayList<>();

    private void vm(String name, String pool, String label, WorkerLoad load, boolean evacuated) {
        ListedFleetVm vm =
                new ListedFleetVm(
                        name,
                        pool,
                        Status.UP,
                        evacuated ? "dc-away" : "dc",
                        List.of(label),
                        new Resources(VM_MILLI_CORES, 1, 0),
                        "w-" + name);
        vms.add(new VmView(vm, load, VmView.PendingOrder.NONE, evacuated));
    }

    private List<String> toStandby() {
        return EvacuatedVms.decide(vms, STANDBY, v -> true).stream().map(Move::vm).toList();
    }

    private List<Move> planMoves(PoolLoad load) {
        PoolPlanner planner =
                new PoolPlanner(
                        Map.of("p", 4, "standby", 2),
                        PoolSettings.DEFAULT,
                        new SurgeForecast(Map.of(), b -> {}));
        return planner.decide(vms, Map.of("p", load), STANDBY, Set.of(), v -> true, 0);
    }

    /**
     * Idle VMs that may run nothing cost as much as before, for as long as the evacuation lasts.
     */
    @Test
    void idleVmsOfAnEvacuatedDataCentreGoToStandby() {
        vm("idle", "p", "a", WorkerLoad.IDLE, true);
        vm("busy", "p", "a", BUSY, true);
        vm("parked", "standby", "a", WorkerLoad.IDLE, true);
        vm("used", "p", "a", WorkerLoad.IDLE, false);
        assertThat(toStandby()).containsExactly("idle");
        assertThat(EvacuatedVms.decide(vms, STANDBY, v -> false)).isEmpty();
        assertThat(EvacuatedVms.decide(vms, Set.of(), v -> true)).isEmpty();
    }

    /** The orders of a round are stored in one row, which hundreds of them would outgrow. */
    @Test
    void aLargeDataCentreIsParkedInSeveralRounds() {
        for (int i = 0; i < 400; i++) {
            vm("vm" + i, "p", "a", WorkerLoad.IDLE, true);
        }
        assertThat(toStandby()).hasSize(20);
    }

    /** Guards against tasks that never start: a pool does not get a VM back by its kind. */
    @Test
    void theLastVmOfItsKindStaysInItsPool() {
        vm("a1", "p", "a", WorkerLoad.IDLE, true);
        vm("a2", "p", "a", WorkerLoad.IDLE, true);
        vm("b1", "p", "b", WorkerLoad.IDLE, false);
        assertThat(toStandby()).containsExactly("a1");
    }

    /** A pool with many VMs that may run nothing got no other ones, and kept its tasks waiting. */
    @Test
    void evacuatedVmsAreReplacedByVmsOfOtherDataCentres() {
        vm("p1", "p", "a", BUSY, false);
        vm("p2", "p", "a", WorkerLoad.IDLE, true);
        vm("p3", "p", "a", WorkerLoad.IDLE, true);
        vm("s1", "standby", "a", WorkerLoad.IDLE, true);
        vm("s2", "standby", "a", WorkerLoad.IDLE, false);
        assertThat(planMoves(new PoolLoad(VM_MILLI_CORES, VM_MILLI_CORES, VM_MILLI_CORES, 0)))
                .containsExactly(new Move("s2", "standby", "p"));
    }

    /** Small tasks of a service need few cores, but each a VM without another task of it. */
    @Test
    void eachEvacuatedVmWithATaskOfAServiceGetsAReplacement() {
        vm("p1", "p", "a", SERVICE, false);
        vm("p2", "p", "a", SERVICE, true);
        vm("s1", "standby", "a", WorkerLoad.IDLE, false);
        vm("s2", "standby", "a", WorkerLoad.IDLE, false);
        assertThat(planMoves(new PoolLoad(2_000, 0, VM_MILLI_CORES, 0))).hasSize(1);
    }

    /** VMs that run nothing would otherwise wait until their pool is not short any more. */
    @Test
    void evacuatedVmsAreMaintainedWhileTheirPoolIsShort() {
        vm("used", "p", "a", WorkerLoad.IDLE, false);
        vm("away", "p", "a", WorkerLoad.IDLE, true);
        PoolLoad tight = new PoolLoad(VM_MILLI_CORES, VM_MILLI_CORES, VM_MILLI_CORES, 0);
        Fleet fleet =
                new Fleet(
                        Map.of("used", vms.get(0), "away", vms.get(1)),
                        Map.of("p", tight),
                        STANDBY,
                        Set.of(),
                        Set.of(),
                        2_000);
        WaveOrder order = new WaveOrder(1, List.of("used", "away"), 60_000, 2);
        Decision decision = FleetWavePlanner.decide(new Progress(order, 0, Set.of()), fleet, 0);
        assertThat(decision.maintain()).containsExactly("away");
    }
}
