package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.WorkerLoad;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.junit.jupiter.api.Test;

/** Guards against tasks that wait beside the last VM of their pool because a wave drains it. */
class DrainReserveTest {

    private static final PoolLoad SHORT = new PoolLoad(1_000, 6_500, 0, 0);
    private static final PoolLoad ENOUGH = new PoolLoad(1_000, 0, 8_000, 0);

    private final List<VmView> vms = new ArrayList<>();

    private void vm(String name, Status status, long usedMilliCores) {
        ListedFleetVm listed =
                new ListedFleetVm(
                        name, "p", status, "dc", List.of(), new Resources(8_000, 1, 0), "w" + name);
        WorkerLoad load = new WorkerLoad(0, 1, usedMilliCores, 0);
        vms.add(new VmView(listed, load, PendingOrder.NONE));
    }

    private Set<String> kept(PoolLoad load, Set<String> leaving, Set<String> deferrable) {
        return DrainReserve.vmsToKeep(vms, Map.of("p", load), leaving, deferrable);
    }

    @Test
    void theLastVmOfAPoolWithWaitingTasksIsKept() {
        vm("a", Status.UP, 1_000);
        assertThat(kept(SHORT, Set.of("a"), Set.of("a"))).containsExactly("a");
    }

    @Test
    void theVmWithTheMostRoomIsKeptIfAllAreDrained() {
        vm("a", Status.UP, 5_000);
        vm("b", Status.UP, 1_000);
        vm("c", Status.MOVING, 0);
        assertThat(kept(SHORT, Set.of("a", "b"), Set.of("a", "b"))).containsExactly("b");
    }

    @Test
    void noVmIsKeptWhileAnotherOneAcceptsTasks() {
        vm("a", Status.UP, 1_000);
        vm("b", Status.UP, 8_000);
        assertThat(kept(SHORT, Set.of("a"), Set.of("a"))).isEmpty();
    }

    @Test
    void noVmIsKeptWhileNoTaskWaits() {
        vm("a", Status.UP, 1_000);
        assertThat(kept(ENOUGH, Set.of("a"), Set.of("a"))).isEmpty();
    }

    @Test
    void aWaveWhoseDeadlineIsAtRiskIsNotHeldUp() {
        vm("a", Status.UP, 1_000);
        assertThat(kept(SHORT, Set.of("a"), Set.of())).isEmpty();
    }
}
