package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.WorkerLoad;
import org.chervillift.core.tasks.vms.PoolPlanner.Move;
import org.junit.jupiter.api.Test;

class PoolPlannerTest {

    private static final long VM_MILLI_CORES = 64_000;
    private static final long IDLE_BEFORE_RETURN_MILLIS = 2_300;
    private static final long IDLE_BEFORE_LENDING_MILLIS = 600;

    private final List<VmView> vms = new ArrayList<>();
    private final PoolPlanner planner = planner(Map.of("p", 2, "q", 2, "standby", 3));

    private static PoolPlanner planner(Map<String, Integer> homeSizes) {
        return new PoolPlanner(
                homeSizes, PoolSettings.DEFAULT, new SurgeForecast(Map.of(), b -> {}));
    }

    private void vms(String pool, int count, WorkerLoad load) {
        for (int i = 0; i < count; i++) {
            vms.add(view(pool + i, pool, Status.UP, load));
        }
    }

    private static VmView view(String name, String pool, Status status, WorkerLoad load) {
        ListedFleetVm vm =
                new ListedFleetVm(
                        name,
                        pool,
                        status,
                        "dc",
                        List.of(),
                        new Resources(VM_MILLI_CORES, 1, 0),
                        "w-" + name);
        return new VmView(vm, load, VmView.PendingOrder.NONE);
    }

    private static WorkerLoad busy(int runs) {
        return new WorkerLoad(runs, 0, VM_MILLI_CORES, 0);
    }

    private List<Move> decide(Map<String, PoolLoad> loads, long now) {
        return planner.decide(vms, loads, Set.of("standby"), Set.of(), v -> true, now);
    }

    private void vmWithLabel(String name, String label) {
        ListedFleetVm vm =
                new ListedFleetVm(
                        name,
                        "p",
                        Status.UP,
                        "dc",
                        List.of(label, "rack-1"),
                        new Resources(VM_MILLI_CORES, 1, 0),
                        "w-" + name);
        vms.add(new VmView(vm, WorkerLoad.IDLE, VmView.PendingOrder.NONE));
    }

    /** A long-running task that may not share a worker waits although workers have free cores. */
    @Test
    void aPoolWithAWaitingTaskSparesNoVmAndGetsAnotherOne() {
        vms("p", 2, WorkerLoad.IDLE);
        vms("standby", 3, WorkerLoad.IDLE);
        Map<String, PoolLoad> blocked =
                Map.of(
                        "p",
                        new PoolLoad(
                                VM_MILLI_CORES / 10, VM_MILLI_CORES / 10, 2 * VM_MILLI_CORES, 0));
        assertThat(decide(blocked, 0)).isEmpty();
        assertThat(decide(blocked, 999)).isEmpty();
        assertThat(decide(blocked, 1_000))
                .extracting(Move::from, Move::to)
                .containsExactly(tuple("standby", "p"));

        vms("p", 3, WorkerLoad.IDLE);
        assertThat(decide(blocked, 20_000)).as("no more than one VM above the home size").isEmpty();
    }

    /** A gang wider than its customer's limit kept all VMs of a surge from all other pools. */
    @Test
    void aTaskThatWaitsForEverDoesNotKeepIdleVmsFromAPoolWithoutAny() {
        vms("p", 7, WorkerLoad.IDLE);
        decide(blockedBesideAnEmptyPool(), 0);
        assertThat(decide(blockedBesideAnEmptyPool(), 10_000))
                .extracting(Move::from, Move::to)
                .containsExactly(tuple("p", "q"), tuple("p", "q"));
    }

    @Test
    void aPoolInWhichATaskWaitsKeepsOneVmMoreThanItsHomeSize() {
        vms("p", 4, WorkerLoad.IDLE);
        decide(blockedBesideAnEmptyPool(), 0);
        assertThat(decide(blockedBesideAnEmptyPool(), 10_000)).hasSize(1);
    }

    /** Returns loads with a short task that waits in p, and with work for two VMs in q. */
    private static Map<String, PoolLoad> blockedBesideAnEmptyPool() {
        return Map.of(
                "p",
                new PoolLoad(0, VM_MILLI_CORES / 10, 7 * VM_MILLI_CORES, 0),
                "q",
                new PoolLoad(0, 2 * VM_MILLI_CORES, 0, 0));
    }

    @Test
    void theLastVmOfItsKindStaysInItsPool() {
        for (int i = 0; i < 5; i++) {
            vmWithLabel("plain" + i, "plain");
        }
        vmWithLabel("fast", "fast");
        vms("q", 2, WorkerLoad.IDLE);
        Map<String, PoolLoad> idle = Map.of("p", new PoolLoad(0, 0, 6 * VM_MILLI_CORES, 0));
        decide(Map.of("p", new PoolLoad(6 * VM_MILLI_CORES, 0, 6 * VM_MILLI_CORES, 0)), 1_000);
        assertThat(decide(idle, 1_001 + IDLE_BEFORE_RETURN_MILLIS))
                .extracting(Move::vm)
                .hasSize(4)
                .doesNotContain("fast");
    }

    @Test
    void aSurgeTakesAsManyVmsFromStandbyAsItCanUse() {
        vms("p", 2, busy(9));
        vms("q", 2, WorkerLoad.IDLE);
        vms("standby", 3, WorkerLoad.IDLE);
        List<Move> moves =
                decide(
                        Map.of(
                                "p",
                                new PoolLoad(
                                        2 * VM_MILLI_CORES, VM_MILLI_CORES, 2 * VM_MILLI_CORES, 0)),
                        0);
        assertThat(moves).extracting(Move::from).containsOnly("standby");
        assertThat(moves).extracting(Move::to).containsOnly("p");
        assertThat(moves).hasSize(2);
    }

    /** Half of a pool is in a data centre that is cut off, while all its capacity is needed. */
    @Test
    void unreachableVmsAreReplacedFromStandby() {
        vms("p", 1, busy(9));
        vms("standby", 3, WorkerLoad.IDLE);
        Map<String, PoolLoad> load =
                Map.of(
                        "p",
                        new PoolLoad(VM_MILLI_CORES, VM_MILLI_CORES * 7 / 10, VM_MILLI_CORES, 0));
        VmView unreachable = view("cut", "p", Status.UP, new WorkerLoad(9, 0, VM_MILLI_CORES, 499));
        vms.add(unreachable);
        assertThat(decide(load, 0)).isEmpty();

        vms.remove(unreachable);
        vms.add(view("cut", "p", Status.UP, new WorkerLoad(9, 0, VM_MILLI_CORES, 500)));
        assertThat(decide(load, 100)).extracting(Move::to).containsExactly("p");
    }

    @Test
    void downVmsAreReplacedFromStandby() {
        vms("p", 1, busy(9));
        vms("standby", 3, WorkerLoad.IDLE);
        vms.add(view("down", "p", Status.DOWN, WorkerLoad.IDLE));
        Map<String, PoolLoad> load =
                Map.of(
                        "p",
                        new PoolLoad(VM_MILLI_CORES, VM_MILLI_CORES * 7 / 10, VM_MILLI_CORES, 0));
        assertThat(decide(load, 0)).extracting(Move::to).containsExactly("p");
    }

    @Test
    void arrivingWorkCountsBeforeItsTasksRunOrWait() {
        vms("p", 2, busy(1));
        vms("standby", 3, WorkerLoad.IDLE);
        List<Move> moves =
                decide(
                        Map.of(
                                "p",
                                new PoolLoad(
                                        VM_MILLI_CORES, 0, 2 * VM_MILLI_CORES, 4 * VM_MILLI_CORES)),
                        0);
        assertThat(moves).hasSize(3).extracting(Move::to).containsOnly("p");
    }

    @Test
    void growthOfTheArrivalRateIsForecast() {
        vms("p", 2, busy(1));
        vms("standby", 3, WorkerLoad.IDLE);
        decide(Map.of("p", new PoolLoad(VM_MILLI_CORES, 0, 2 * VM_MILLI_CORES, VM_MILLI_CORES)), 0);
        List<Move> moves =
                decide(
                        Map.of(
                                "p",
                                new PoolLoad(
                                        VM_MILLI_CORES, 0, 2 * VM_MILLI_CORES, 3 * VM_MILLI_CORES)),
                        1_000);
        assertThat(moves).as("four VMs for the current rate, one for its growth").hasSize(3);
    }

    @Test
    void vmsMoveToStandbyAfterASurgeDownToTheMinimumSize() {
        vms("p", 6, WorkerLoad.IDLE);
        vms("q", 2, WorkerLoad.IDLE);
        Map<String, PoolLoad> idle = Map.of("p", new PoolLoad(0, 0, 6 * VM_MILLI_CORES, 0));
        decide(Map.of("p", new PoolLoad(6 * VM_MILLI_CORES, 0, 6 * VM_MILLI_CORES, 0)), 1_000);
        assertThat(decide(idle, 1_000 + IDLE_BEFORE_RETURN_MILLIS)).isEmpty();
        List<Move> moves = decide(idle, 1_001 + IDLE_BEFORE_RETURN_MILLIS);
        assertThat(moves).hasSize(5).extracting(Move::to).containsOnly("standby");
    }

    @Test
    void vmsOfAnEndedSurgeAreLentToTheNextOneBeforeTheyWouldMoveToStandby() {
        vms("p", 6, WorkerLoad.IDLE);
        vms("q", 2, busy(9));
        Map<String, PoolLoad> turn =
                Map.of(
                        "p",
                        new PoolLoad(0, 0, 6 * VM_MILLI_CORES, 0),
                        "q",
                        new PoolLoad(2 * VM_MILLI_CORES, VM_MILLI_CORES, 2 * VM_MILLI_CORES, 0));
        decide(Map.of("p", new PoolLoad(5 * VM_MILLI_CORES, 0, 6 * VM_MILLI_CORES, 0)), 1_000);
        assertThat(decide(turn, 1_000 + IDLE_BEFORE_LENDING_MILLIS)).isEmpty();
        assertThat(decide(turn, 1_001 + IDLE_BEFORE_LENDING_MILLIS))
                .isNotEmpty()
                .allMatch(m -> m.from().equals("p") && m.to().equals("q"));
    }

    @Test
    void aPoolThatNeverHadDemandKeepsItsVms() {
        vms("p", 2, WorkerLoad.IDLE);
        vms("q", 2, WorkerLoad.IDLE);
        assertThat(decide(Map.of("p", new PoolLoad(0, 0, 2 * VM_MILLI_CORES, 0)), 9_000)).isEmpty();
    }

    @Test
    void anIdlePoolLendsVmsToASurgeThatStandbyCannotServeAndKeepsHalf() {
        vms("p", 2, busy(9));
        vms("q", 2, WorkerLoad.IDLE);
        List<Move> moves =
                decide(
                        Map.of(
                                "p",
                                new PoolLoad(
                                        2 * VM_MILLI_CORES,
                                        9 * VM_MILLI_CORES,
                                        2 * VM_MILLI_CORES,
                                        0)),
                        9_000);
        assertThat(moves).extracting(Move::from, Move::to).containsExactly(tuple("q", "p"));
    }

    @Test
    void aPoolBelowItsMinimumSizeGetsIdleVmsBeforeStandby() {
        vms("p", 3, WorkerLoad.IDLE);
        vms("standby", 3, WorkerLoad.IDLE);
        Map<String, PoolLoad> idle = Map.of("p", new PoolLoad(0, 0, 3 * VM_MILLI_CORES, 0));
        decide(Map.of("p", new PoolLoad(3 * VM_MILLI_CORES, 0, 3 * VM_MILLI_CORES, 0)), 1_000);
        assertThat(decide(idle, 1_001 + IDLE_BEFORE_RETURN_MILLIS))
                .extracting(Move::from, Move::to)
                .containsExactly(tuple("p", "q"), tuple("p", "standby"));
    }

    /** Tasks of one step that may not share a VM could not restart anywhere else. */
    @Test
    void aVmThatIsDrainedOfLongRunningTasksGetsAReplacementFirst() {
        vms("p", 2, new WorkerLoad(0, 1, VM_MILLI_CORES / 10, 0));
        vms("standby", 3, WorkerLoad.IDLE);
        Map<String, PoolLoad> light =
                Map.of("p", new PoolLoad(VM_MILLI_CORES / 5, 0, 2 * VM_MILLI_CORES, 0));
        assertThat(decide(light, 0)).isEmpty();
        assertThat(planner.decide(vms, light, Set.of("standby"), Set.of("p0"), v -> true, 100))
                .extracting(Move::from, Move::to)
                .containsExactly(tuple("standby", "p"));
    }

    @Test
    void withoutStandbyVmsReturnToThePoolThatLentThem() {
        vms("p", 3, WorkerLoad.IDLE);
        vms("q", 1, WorkerLoad.IDLE);
        Set<String> none = Set.of();
        PoolPlanner two = planner(Map.of("p", 2, "q", 2));
        Map<String, PoolLoad> idle = Map.of("p", new PoolLoad(0, 0, 3 * VM_MILLI_CORES, 0));
        two.decide(
                vms,
                Map.of("p", new PoolLoad(3 * VM_MILLI_CORES, 0, 3 * VM_MILLI_CORES, 0)),
                none,
                Set.of(),
                v -> true,
                1_000);
        assertThat(
                        two.decide(
                                vms,
                                idle,
                                none,
                                Set.of(),
                                v -> true,
                                1_001 + IDLE_BEFORE_RETURN_MILLIS))
                .extracting(Move::from, Move::to)
                .containsExactly(tuple("p", "q"));
    }

    /** After a loss of power few callers reach the system, so a surge shows in full too late. */
    @Test
    void aPoolGetsTheVmsOfItsLastSurgeAsSoonAsASurgeBegins() {
        vms("p", 1, busy(1));
        vms("standby", 9, WorkerLoad.IDLE);
        Map<String, Integer> homeSizes = Map.of("p", 2, "standby", 9);
        Map<String, PoolLoad> begin =
                Map.of(
                        "p",
                        new PoolLoad(
                                VM_MILLI_CORES, 0, VM_MILLI_CORES, VM_MILLI_CORES * 3 / 2, true));
        SurgeForecast surges = new SurgeForecast(Map.of("p", VM_MILLI_CORES * 5), b -> {});
        PoolSettings settings = new PoolSettings(2_300, 600, 0.34, true);
        PoolPlanner forecasting = new PoolPlanner(homeSizes, settings, surges);
        PoolPlanner following =
                new PoolPlanner(
                        homeSizes,
                        PoolSettings.DEFAULT,
                        new SurgeForecast(Map.of("p", VM_MILLI_CORES * 5), b -> {}));
        Set<String> standby = Set.of("standby");
        assertThat(following.decide(vms, begin, standby, Set.of(), v -> true, 0)).hasSize(1);
        assertThat(forecasting.decide(vms, begin, standby, Set.of(), v -> true, 0)).hasSize(5);
    }
}
