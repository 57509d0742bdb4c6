package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.junit.jupiter.api.Test;

/** Tests a change of the holder while a slow platform carries out an order of the former one. */
class OrderUnderWayTest {

    private static final List<String> VMS = List.of("a", "b", "c", "d", "e", "f");
    private static final Duration ORDER_TIME = Duration.ofMillis(900);
    private static final long MAINTENANCE_MILLIS = 2_000;
    private static final int STEP_MILLIS = 10;
    private static final String JOB = "5c0e7a21d94b36f8";

    private final NodeFixture fixture = new NodeFixture();
    private final TaskNode holder;
    private final TaskNode successor;
    private final FaultInjectingStore storeOfSuccessor;

    OrderUnderWayTest() {
        VMS.forEach(fixture::addVm);
        holder = fixture.startNodeAndWait("n");
        storeOfSuccessor = new FaultInjectingStore(fixture.store, fixture.scheduler);
        successor = fixture.startNodeAndWait("m", storeOfSuccessor);
        fixture.fleet.setOrderLatency(ORDER_TIME);
    }

    /** Begins a wave, and stops the holder as soon as its first order has arrived. */
    private void loseHolderAfterItsFirstOrder(int cap) {
        fixture.orderWave(new WaveOrder(1, VMS, 60_000, cap));
        while (fixture.fleet.ordersReceived() == 0) {
            fixture.advanceMillis(STEP_MILLIS);
        }
        holder.drain();
    }

    /** Hands in a job of which each VM runs one task. */
    private void submitWide(int tasks) {
        submitWide(JOB, tasks);
    }

    private void submitWide(String id, int tasks) {
        JobSpec wide =
                new JobSpec(id, "p", List.of(NodeFixture.step(tasks, 6_000, false)), Schedule.ONCE);
        JobRequest request =
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + id,
                        Optional.of(NodeFixture.KEY),
                        i -> wide);
        assertThat(fixture.await(successor.answer(request))).isEqualTo(new JobAnswer.Accepted());
    }

    private void assertNoTaskStartsOnTheVmThatGoesDown() {
        while (fixture.fleet.maintained().isEmpty()) {
            fixture.advanceMillis(STEP_MILLIS);
        }
        String maintained = fixture.fleet.maintained().getFirst();
        assertThat(fixture.fleet.starts())
                .isNotEmpty()
                .noneMatch(s -> s.endsWith("@w-" + maintained));
    }

    /** The order counted for nothing with the successor, which ordered another VM of the wave. */
    @Test
    void noMoreVmsThanTheCapOfAWaveAreDownAfterAChangeOfTheHolder() {
        loseHolderAfterItsFirstOrder(1);
        submitWide(VMS.size() - 1);
        List<Long> begins = new ArrayList<>();
        for (int t = 0; t < 20_000 && begins.size() < 3; t += STEP_MILLIS) {
            fixture.advanceMillis(STEP_MILLIS);
            while (begins.size() < fixture.fleet.maintained().size()) {
                begins.add((long) t);
            }
        }
        assertThat(begins).hasSize(3);
        for (int i = 1; i < begins.size(); i++) {
            assertThat(begins.get(i) - begins.get(i - 1))
                    .isGreaterThanOrEqualTo(MAINTENANCE_MILLIS);
        }
    }

    /** The successor started tasks on a VM that was about to go down. */
    @Test
    void noTaskStartsOnAVmThatAnOrderOfTheFormerHolderTakesDown() {
        loseHolderAfterItsFirstOrder(1);
        submitWide(VMS.size());
        assertNoTaskStartsOnTheVmThatGoesDown();
    }

    /** The worker became known after the first list, and was not cordoned until the next one. */
    @Test
    void noTaskStartsOnAWorkerThatTheSuccessorKnowsOnlyAfterItsFirstList() {
        storeOfSuccessor.delayReads(new FleetRowCodec().workerTable(), Duration.ofMillis(120));
        loseHolderAfterItsFirstOrder(1);
        submitWide(VMS.size());
        assertNoTaskStartsOnTheVmThatGoesDown();
    }

    /** The workers of such orders stayed cordoned while no list came. */
    @Test
    void anOrderThatIsNeverCarriedOutHoldsItsVmBackOnlyUntilItExpires() {
        fixture.fleet.setOrderLatency(Duration.ofHours(1));
        loseHolderAfterItsFirstOrder(1);
        fixture.fleet.leaveOut(Set.copyOf(VMS));
        submitWide(VMS.size());
        fixture.advanceMillis(300);
        assertThat(fixture.fleet.starts()).hasSize(VMS.size() - 1);
        fixture.advanceMillis(NodeFixture.HANDOVER_DELAY_MILLIS + 2_000);
        submitWide("5c0e7a21d94b36f9", VMS.size());
        fixture.advanceMillis(300);
        assertThat(VMS)
                .allSatisfy(
                        vm ->
                                assertThat(fixture.fleet.starts())
                                        .anyMatch(s -> s.contains("@w-" + vm)));
    }

    /** An order that is in effect holds its VM back no longer. */
    @Test
    void aVmThatIsBackRunsTasksAtOnce() {
        fixture.fleet.setOrderLatency(Duration.ofMillis(4));
        loseHolderAfterItsFirstOrder(1);
        fixture.advanceMillis(MAINTENANCE_MILLIS + 1_000);
        String first = fixture.fleet.maintained().getFirst();
        for (int i = 0; i < 12; i++) {
            fixture.ask(successor, JobRequest.Action.SUBMIT, String.format("%016x", i));
        }
        fixture.advanceMillis(300);
        assertThat(fixture.fleet.starts()).anyMatch(s -> s.contains("@w-" + first));
    }
}
