package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.http.Json;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Checks the rows by which entry VMs find each other, and the calls that they cost. */
class EntryVmDirectoryTest extends RelayTestBase {

    private static final int MAX_ROW_BYTES = 200;
    private static final long MINUTE = 60_000;

    private List<Row> rows() {
        var page =
                fixture.store.scan(
                        EntryVmDirectory.TABLE, EntryVmDirectory.PARTITION, KeyRange.ALL);
        fixture.advanceMillis(10);
        return page.toCompletableFuture().join().rows();
    }

    private List<String> vms() {
        return rows().stream().map(r -> r.key().key()).toList();
    }

    private void overwrite(String vm, String value) {
        fixture.store.commit(
                EntryVmDirectory.PARTITION,
                List.of(),
                List.of(Write.put(new RowKey(EntryVmDirectory.TABLE, vm), value)));
        fixture.advanceMillis(100);
    }

    @Test
    void aPlannedStopDeletesTheOwnRowAndARestartKeepsOne() {
        startNodes("a", "b");
        startNodes("a");
        assertThat(vms()).containsExactly("a", "b");
        nodes.get("b").drain();
        fixture.advanceMillis(100);
        assertThat(vms()).containsExactly("a");
    }

    /** Guards against a stop that removes the row of the process that has taken its place. */
    @Test
    void aPlannedStopLeavesTheRowOfItsSuccessor() {
        startNodes("a", "b");
        TaskNode former = nodes.get("a");
        startNodes("a");
        former.drain();
        fixture.advanceMillis(100);
        assertThat(vms()).containsExactly("a", "b");
    }

    @Test
    void aRowThatIsLostIsWrittenAgain() {
        startNodes("a", "b");
        fixture.store.commit(
                EntryVmDirectory.PARTITION,
                List.of(),
                List.of(Write.delete(new RowKey(EntryVmDirectory.TABLE, "a"))));
        fixture.advanceMillis(100);
        assertThat(vms()).containsExactly("a", "b");
    }

    /** Guards against an entry VM that no other one finds again after a loss of history. */
    @Test
    void aRowThatIsGoneAfterALossOfHistoryIsWrittenAgain() {
        startNodes("a", "b");
        fixture.store.setFault(StoreFault.FORGETFUL);
        overwrite("b", "{");
        fixture.store.commit(
                EntryVmDirectory.PARTITION,
                List.of(),
                List.of(Write.delete(new RowKey(EntryVmDirectory.TABLE, "a"))));
        fixture.advanceMillis(200);
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(3_000);
        assertThat(vms()).containsExactly("a", "b");
    }

    @Test
    void aRowIsAsSmallAsStated() {
        var row =
                new EntryVmDirectory.EntryVmRow(
                        "[2001:db8:1111:2222:3333:4444:5555:6666]:65535",
                        "data-centre-with-a-name",
                        "entry-vm-with-a-long-name-0001/18c9f2a7b3d");
        assertThat(Json.encode(row).getBytes(StandardCharsets.UTF_8))
                .hasSizeLessThan(MAX_ROW_BYTES);
    }

    @Test
    void aRowThatCannotBeReadHidesNoOther() {
        startNodes("a", "b");
        overwrite("c", "{\"address\":\"nowhere\"}");
        overwrite("d", "7");
        reject("a");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
    }

    /** Guards against traffic between entry VMs, and polls, while nothing is wrong. */
    @Test
    void aQuietMinuteCostsSixPollsAndNoRequestBetweenEntryVms() {
        startNodes("a", "b");
        Map<String, Integer> calls = stores.get("b").calls();
        int before = calls.get("follow entry-vms");
        fixture.advanceMillis(MINUTE);
        assertThat(calls.get("follow entry-vms") - before).isLessThanOrEqualTo(6);
        assertThat(calls).containsEntry("scan entry-vms", 1).containsEntry("commit entry-vms", 1);
        assertThat(network.sent()).isEmpty();
    }
}
