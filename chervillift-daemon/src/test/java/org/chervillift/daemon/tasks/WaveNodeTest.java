package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.WaveOrder;
import org.junit.jupiter.api.Test;

class WaveNodeTest {

    private static final String RUNNING = "{\"state\":\"running\"}";
    private static final String COMPLETED = "{\"state\":\"completed\"}";

    private final NodeFixture nodes = new NodeFixture();

    WaveNodeTest() {
        nodes.addVm("a");
        nodes.addVm("b");
        nodes.addVm("spare");
        nodes.orderWave(new WaveOrder(1, List.of("a", "b"), 60_000, 1));
    }

    @Test
    void aWaveIsNotCompletedWhileAListLeavesOutAVmThatStays() {
        nodes.fleet.leaveOut(Set.of("b"));
        nodes.runningNode("n");
        nodes.pass(3_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(RUNNING);
        nodes.fleet.leaveOut(Set.of());
        nodes.pass(5_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(nodes.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void aWaveIsCompletedWithoutAVmThatIsGoneForGood() {
        nodes.fleet.leaveOut(Set.of("b"));
        nodes.runningNode("n");
        nodes.pass(12_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(nodes.fleet.maintained()).containsExactly("a");
    }

    @Test
    void aListWithoutAnyVmCompletesNoWave() {
        nodes.fleet.leaveOut(Set.of("a", "b", "spare"));
        nodes.runningNode("n");
        nodes.pass(12_000);
        assertThat(nodes.waveStatus(1)).isNotEqualTo(COMPLETED);
        nodes.fleet.leaveOut(Set.of());
        nodes.pass(8_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(nodes.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void aDelayedWriteDoesNotTakeACompletedWaveBack() {
        nodes.late.hold(w -> w.value().filter(RUNNING::equals).isPresent());
        nodes.runningNode("n");
        assertThat(nodes.late.heldCount()).isPositive();
        nodes.late.letThrough();
        nodes.pass(8_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        nodes.late.release();
        nodes.pass(3_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
    }

    @Test
    void delayedWritesOfAFormerHolderDoNotChangeWhatItsSuccessorTold() {
        nodes.late.hold(w -> !w.key().table().equals(JobRows.HOLDER));
        nodes.runningNode("n");
        nodes.late.hold(w -> true);
        nodes.late.stopFeeds();
        nodes.runningNode("m", nodes.store);
        nodes.pass(12_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        nodes.late.release();
        nodes.pass(3_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(nodes.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void aNewHolderTellsACompletedWaveThatItsPredecessorOnlyStored() {
        nodes.late.hold(w -> w.value().filter(COMPLETED::equals).isPresent());
        TaskNode first = nodes.runningNode("n");
        nodes.pass(8_000);
        assertThat(nodes.late.heldCount()).isPositive();
        first.drain();
        nodes.runningNode("m", nodes.store);
        nodes.pass(2_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
    }

    @Test
    void aDelayedWriteOfItsOwnRowDoesNotLoseWhichVmsAreMaintained() {
        nodes.late.hold(w -> isRowOfWave(w, "[]"));
        TaskNode first = nodes.runningNode("n");
        assertThat(nodes.late.heldCount()).isPositive();
        nodes.late.letThrough();
        nodes.pass(8_000);
        assertThat(nodes.waveStatus(1)).isEqualTo(COMPLETED);
        nodes.late.release();
        first.drain();
        nodes.runningNode("m");
        nodes.pass(8_000);
        assertThat(nodes.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    private static boolean isRowOfWave(Write write, String maintained) {
        return write.key().table().equals("waves")
                && write.value().filter(v -> v.contains(maintained)).isPresent();
    }
}
