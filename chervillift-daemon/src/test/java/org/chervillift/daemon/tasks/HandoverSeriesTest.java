package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.standin.tasks.SeenMove;
import org.junit.jupiter.api.Test;

/** Tests orders for VMs while the holder changes twice within a short time. */
class HandoverSeriesTest extends TaskNodeTestBase {

    private static final long MILLIS_PER_HOLDER = 1_300;
    private static final int JOBS = 5;

    /** The second holder dropped the orders of the first, and the third ordered its VMs at once. */
    @Test
    void theThirdHolderWaitsForVmsThatTheFirstHasOrdered() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        TaskNode c = startNodeAndWait("c");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(400);
        assertThat(fleet.moves()).isNotEmpty().allMatch(m -> m.vm().equals("s1"));
        SeenMove first = fleet.moves().getLast();

        addStandby("s2");
        a.drain();
        submitJobs(c);
        advanceMillis(MILLIS_PER_HOLDER);
        assertThat(movesAfter(first.term())).isNotEmpty().allMatch(m -> m.vm().equals("s2"));
        long secondTerm = fleet.moves().getLast().term();
        b.drain();
        advanceMillis(2 * HANDOVER_DELAY_MILLIS);

        assertThat(movesAfter(secondTerm))
                .filteredOn(m -> m.vm().equals("s1"))
                .isNotEmpty()
                .allSatisfy(
                        m ->
                                assertThat(m.atMillis() - first.atMillis())
                                        .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS));
    }

    /** A new holder reads these orders before its first start. */
    @Test
    void ordersThatCannotBeReadHoldBackOrdersButNoStarts() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        store.commit(
                StoreLayout.HOLDER_PARTITION,
                List.of(),
                List.of(Write.put(new RowKey("turns", "vms"), "{")));
        a.drain();
        advanceMillis(300);
        long handedOverAt = scheduler.now().toEpochMilli();
        submitJobs(b);
        advanceMillis(1_000);
        assertThat(fleet.starts()).isNotEmpty();
        assertThat(fleet.moves()).isEmpty();
        advanceMillis(HANDOVER_DELAY_MILLIS);
        assertThat(fleet.moves())
                .isNotEmpty()
                .allSatisfy(m -> assertThat(m.atMillis()).isGreaterThan(handedOverAt));
    }

    private void submitJobs(TaskNode node) {
        for (int i = 0; i < JOBS; i++) {
            ask(node, JobRequest.Action.SUBMIT, "00000000000000a" + i);
        }
    }

    private List<SeenMove> movesAfter(long term) {
        return fleet.moves().stream().filter(m -> m.term() > term).toList();
    }
}
