package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.junit.jupiter.api.Test;

/** A callback that throws must end no loop of the holder, and must be seen. */
class FailedCallbackTest extends FaultyPlatformTestBase {

    private void assertJobCompletes(TaskNode node) {
        fixture.ask(node, Action.SUBMIT, JOB);
        fixture.advanceMillis(20_000);
        assertJobIsCompleted(node);
    }

    private static void assertFailureIsCounted(TaskNode node, String loop) {
        assertThat(new String(node.metrics(), StandardCharsets.UTF_8))
                .contains("chervillift_loop_failures_total{loop=\"" + loop + "\"}");
    }

    /** The poll of a worker ended with the first report that could not be applied. */
    @Test
    void pollGoesOnAfterAReportThatCannotBeApplied() {
        TaskNode node = startHolder();
        platform.breakNextReport();
        fixture.advanceMillis(1_000);
        assertJobCompletes(node);
        assertFailureIsCounted(node, "worker poll");
    }

    /** The table of workers was not followed any more, and the worker that came was not used. */
    @Test
    void workersAreReadAnewAfterTheirListenerHasThrown() {
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(1_000);
        platform.failNext("worker row", CallFault.THROWS, 1);
        fixture.addVm("v1");
        fixture.advanceMillis(2_000);
        assertJobCompletes(node);
        assertFailureIsCounted(node, "table " + new FleetRowCodec().workerTable());
    }

    /** A client that cannot be created ended the planning, and kept the other workers out. */
    @Test
    void workersAreUsedAfterTheClientOfOneCouldNotBeCreated() {
        platform.failNext("connect", CallFault.THROWS, 1);
        TaskNode node = startHolder();
        assertJobCompletes(node);
        assertFailureIsCounted(node, "worker session");
    }

    /** A row of progress that cannot be decoded kept the holder from ever becoming ready. */
    @Test
    void jobsRunAlthoughTheProgressOfOneCannotBeRead() {
        RowKey key = StoreLayout.progressKey("0000000000000001");
        fixture.store.commit(StoreLayout.HOLDER_PARTITION, List.of(), List.of(Write.put(key, "{")));
        TaskNode node = startHolder();
        assertJobCompletes(node);
    }
}
