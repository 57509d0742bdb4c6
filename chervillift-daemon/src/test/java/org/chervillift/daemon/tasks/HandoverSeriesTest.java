package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.standin.tasks.SeenMove;
import org.junit.jupiter.api.Test;

/** Tests orders for VMs while the holder changes twice within a short time. */
class HandoverSeriesTest extends TaskNodeTestBase {

    private static final long MILLIS_PER_HOLDER = 1_300;

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
        for (int i = 0; i < 5; i++) {
            ask(c, JobRequest.Action.SUBMIT, "00000000000000a" + i);
        }
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

    private List<SeenMove> movesAfter(long term) {
        return fleet.moves().stream().filter(m -> m.term() > term).toList();
    }
}
