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

    /** The leases that a former holder granted may last for this long after it. */
    private static final long FORMER_LEASES_MILLIS = 4_500;

    private final NodeFixture fixture = new NodeFixture();

    WaveNodeTest() {
        fixture.addVm("a");
        fixture.addVm("b");
        fixture.addVm("spare");
        fixture.orderWave(new WaveOrder(1, List.of("a", "b"), 60_000, 1));
    }

    @Test
    void waveIsNotCompletedWhileAnExistingVmIsMissingFromLists() {
        fixture.fleet.leaveOut(Set.of("b"));
        fixture.startNodeAndWait("n");
        fixture.advanceMillis(3_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(RUNNING);
        fixture.fleet.leaveOut(Set.of());
        fixture.advanceMillis(5_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(fixture.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void waveCompletesWithoutAVmThatNoLongerExists() {
        fixture.fleet.leaveOut(Set.of("b"));
        fixture.startNodeAndWait("n");
        fixture.advanceMillis(12_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(fixture.fleet.maintained()).containsExactly("a");
    }

    @Test
    void emptyListCompletesNoWave() {
        fixture.fleet.leaveOut(Set.of("a", "b", "spare"));
        fixture.startNodeAndWait("n");
        fixture.advanceMillis(12_000);
        assertThat(fixture.waveStatus(1)).isNotEqualTo(COMPLETED);
        fixture.fleet.leaveOut(Set.of());
        fixture.advanceMillis(8_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(fixture.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    /** A worker that had not reported to a new holder counted as idle, and its VM came first. */
    @Test
    void aNewHolderMaintainsNoVmWhoseRunsItDoesNotKnow() {
        TaskNode holder = fixture.startNodeAndWait("n");
        fixture.startNodeAndWait("m");
        fixture.advanceMillis(10_000);
        List<String> vms = List.of("c", "d", "e", "f");
        vms.forEach(fixture::addVm);
        fixture.advanceMillis(1_000);
        List<String> silent = List.of("c", "d");
        silent.forEach(vm -> fixture.fleet.worker("w-" + vm).setSilent(true));
        holder.drain();
        fixture.orderWave(new WaveOrder(2, vms, 9_000, 2));
        int before = fixture.fleet.maintained().size();

        fixture.advanceMillis(FORMER_LEASES_MILLIS);
        assertThat(maintainedFrom(before)).contains("e", "f").doesNotContainAnyElementsOf(silent);
        fixture.advanceMillis(FORMER_LEASES_MILLIS);
        assertThat(maintainedFrom(before)).containsAll(silent);
    }

    private List<String> maintainedFrom(int first) {
        List<String> all = fixture.fleet.maintained();
        return all.subList(first, all.size());
    }

    @Test
    void delayedWriteDoesNotUndoACompletedWave() {
        fixture.delayingStore.hold(w -> w.value().filter(RUNNING::equals).isPresent());
        fixture.startNodeAndWait("n");
        assertThat(fixture.delayingStore.heldCount()).isPositive();
        fixture.delayingStore.stopHolding();
        fixture.advanceMillis(8_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        fixture.delayingStore.releaseHeld();
        fixture.advanceMillis(3_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
    }

    @Test
    void delayedWritesOfAFormerHolderDoNotChangeTheStatusOfItsSuccessor() {
        fixture.delayingStore.hold(w -> !w.key().table().equals(StoreLayout.HOLDER_TABLE));
        fixture.startNodeAndWait("n");
        fixture.delayingStore.hold(w -> true);
        fixture.delayingStore.stopFeeds();
        fixture.startNodeAndWait("m", fixture.store);
        fixture.advanceMillis(12_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        fixture.delayingStore.releaseHeld();
        fixture.advanceMillis(3_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        assertThat(fixture.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    void newHolderPublishesACompletedWaveThatWasOnlyStored() {
        fixture.delayingStore.hold(w -> w.value().filter(COMPLETED::equals).isPresent());
        TaskNode first = fixture.startNodeAndWait("n");
        fixture.advanceMillis(8_000);
        assertThat(fixture.delayingStore.heldCount()).isPositive();
        first.drain();
        fixture.startNodeAndWait("m", fixture.store);
        fixture.advanceMillis(2_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
    }

    @Test
    void delayedWriteOfTheProgressRowDoesNotLoseMaintainedVms() {
        fixture.delayingStore.hold(w -> isWaveRow(w, "[]"));
        TaskNode first = fixture.startNodeAndWait("n");
        assertThat(fixture.delayingStore.heldCount()).isPositive();
        fixture.delayingStore.stopHolding();
        fixture.advanceMillis(8_000);
        assertThat(fixture.waveStatus(1)).isEqualTo(COMPLETED);
        fixture.delayingStore.releaseHeld();
        first.drain();
        fixture.startNodeAndWait("m");
        fixture.advanceMillis(8_000);
        assertThat(fixture.fleet.maintained()).containsExactlyInAnyOrder("a", "b");
    }

    private static boolean isWaveRow(Write write, String maintained) {
        return write.key().table().equals("waves")
                && write.value().filter(v -> v.contains(maintained)).isPresent();
    }
}
