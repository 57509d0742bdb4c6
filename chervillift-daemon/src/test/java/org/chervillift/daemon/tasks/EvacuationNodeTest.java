package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.standin.tasks.MemoryLink;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests that no process starts a task in a data centre that the operator has evacuated. */
class EvacuationNodeTest {

    private static final String AWAY = "dc-away";
    private static final Duration WITHIN = Duration.ofSeconds(5);
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final String OPERATOR_TABLE = new FleetRowCodec().operatorTable();
    private static final double LINK_MBPS = 1_000;
    private static final long BYTES_PER_SECOND = 17_500_000;
    private static final long LONGER_THAN_A_LEASE_MILLIS = 8_000;
    private static final long MANY_CORES = 40_000;

    private final NodeFixture fixture = new NodeFixture();
    private final FaultInjectingStore faultyStore =
            new FaultInjectingStore(fixture.store, fixture.scheduler);
    private int jobs;

    EvacuationNodeTest() {
        fixture.addWorker("a1", "vm-a1", NodeFixture.POOL, MANY_CORES, AWAY);
        fixture.fleet.sendHeartbeats(HEARTBEAT);
    }

    private void addWorkerElsewhere() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, MANY_CORES);
    }

    private TaskNode startNodeAndWait(String vm, Duration within) {
        TaskNode node =
                fixture.startNode(
                        NodeFixture.settings(vm, LINK_MBPS, within), faultyStore, vm + "/1");
        fixture.advanceMillis(500);
        return node;
    }

    private void submit(TaskNode node) {
        jobs++;
        assertThat(fixture.ask(node, Action.SUBMIT, "%016x".formatted(jobs)))
                .isEqualTo(new JobAnswer.Accepted());
    }

    /** Submits a job each 100 ms for a time; returns on which workers tasks were started. */
    private List<String> startsWhileJobsCome(TaskNode node, long millis) {
        int before = fixture.fleet.starts().size();
        long until = fixture.scheduler.now().toEpochMilli() + millis;
        while (fixture.scheduler.now().toEpochMilli() < until) {
            submit(node);
            fixture.advanceMillis(100);
        }
        return workersSince(before);
    }

    private List<String> workersSince(int before) {
        List<String> starts = fixture.fleet.starts();
        return starts.subList(before, starts.size()).stream()
                .map(s -> s.substring(s.indexOf('@') + 1))
                .toList();
    }

    private static String metricsOf(TaskNode node) {
        return new String(node.metrics(), StandardCharsets.UTF_8);
    }

    @Test
    void noTaskStartsInAnEvacuatedDataCentreUntilTheRowIsDeleted() {
        TaskNode node = startNodeAndWait("n", WITHIN);
        assertThat(startsWhileJobsCome(node, 1_000)).containsOnly("a1");
        fixture.evacuate(AWAY);
        fixture.advanceMillis(100);
        assertThat(startsWhileJobsCome(node, LONGER_THAN_A_LEASE_MILLIS)).isEmpty();
        assertThat(metricsOf(node))
                .contains("chervillift_evacuated_data_centres 1.0")
                .contains("chervillift_evacuated_pool{pool=\"proofs\"} 1.0")
                .contains("reason=\"DATA_CENTRE_EVACUATED\"")
                .doesNotContain("chervillift_standing_jobs{");

        fixture.endEvacuation(AWAY);
        int before = fixture.fleet.starts().size();
        fixture.advanceMillis(1_000);
        assertThat(workersSince(before)).isNotEmpty().containsOnly("a1");
        assertThat(metricsOf(node))
                .contains("chervillift_evacuated_data_centres 0.0")
                .doesNotContain("chervillift_evacuated_pool{");
    }

    /** Deletions are not among the rows of a table that is read again. */
    @Test
    void aRowThatIsGoneAfterALossOfHistoryIsWithdrawn() {
        TaskNode node = startNodeAndWait("n", WITHIN);
        fixture.evacuate(AWAY);
        fixture.advanceMillis(100);
        assertThat(startsWhileJobsCome(node, 500)).isEmpty();
        fixture.store.setFault(StoreFault.FORGETFUL);
        fixture.endEvacuation(AWAY);
        fixture.advanceMillis(200);
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(3_000);
        assertThat(startsWhileJobsCome(node, 1_000)).contains("a1");
    }

    @Test
    void aRowThatIsThereAfterALossOfHistoryIsInForce() {
        TaskNode node = startNodeAndWait("n", WITHIN);
        fixture.store.setFault(StoreFault.FORGETFUL);
        fixture.evacuate(AWAY);
        fixture.advanceMillis(1_000);
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(WITHIN.toMillis() - 1_000);
        assertThat(startsWhileJobsCome(node, 2_000)).isEmpty();
    }

    @Test
    void theSuccessorOfALostHolderStartsNothingInAnEvacuatedDataCentre() {
        MemoryLink link = new MemoryLink(fixture.store, fixture.scheduler, BYTES_PER_SECOND);
        fixture.startNode(NodeFixture.settings("h", LINK_MBPS, WITHIN), link, "h/1");
        fixture.advanceMillis(500);
        TaskNode successor = startNodeAndWait("n", WITHIN);
        assertThat(startsWhileJobsCome(successor, 1_000)).contains("a1");
        addWorkerElsewhere();
        fixture.evacuate(AWAY);
        fixture.advanceMillis(500);
        link.setCut(true);
        assertThat(startsWhileJobsCome(successor, LONGER_THAN_A_LEASE_MILLIS))
                .isNotEmpty()
                .containsOnly("w1");
        assertThat(metricsOf(successor)).contains("chervillift_holder_term 2.0");
    }

    /** The row is stored while the store rejects the holder, which still has its lease. */
    @Test
    void nobodyStartsTasksAfterTheBoundIfTheRowIsStoredWhileTheStoreRejectsTheHolder() {
        MemoryLink link = new MemoryLink(fixture.store, fixture.scheduler, BYTES_PER_SECOND);
        fixture.startNode(NodeFixture.settings("h", LINK_MBPS, WITHIN), link, "h/1");
        fixture.advanceMillis(500);
        TaskNode other = startNodeAndWait("n", WITHIN);
        assertThat(startsWhileJobsCome(other, 1_000)).contains("a1");
        link.setCut(true);
        fixture.evacuate(AWAY);
        startsWhileJobsCome(other, WITHIN.toMillis());
        link.setCut(false);
        assertThat(startsWhileJobsCome(other, WITHIN.toMillis())).isEmpty();
        fixture.endEvacuation(AWAY);
        assertThat(startsWhileJobsCome(other, 1_000)).isNotEmpty().containsOnly("a1");
    }

    /** A process may become the holder while it is cut off from the operator's rows. */
    @Test
    void aNewHolderWhoseCopyOfTheOperatorsRowsIsOldStartsNothing() {
        MemoryLink link = new MemoryLink(fixture.store, fixture.scheduler, BYTES_PER_SECOND);
        fixture.startNode(NodeFixture.settings("h", LINK_MBPS, WITHIN), link, "h/1");
        fixture.advanceMillis(500);
        addWorkerElsewhere();
        TaskNode successor = startNodeAndWait("n", WITHIN);
        faultyStore.setTableLost(OPERATOR_TABLE);
        fixture.advanceMillis(WITHIN.toMillis());
        fixture.evacuate(AWAY);
        submit(successor);
        int before = fixture.fleet.starts().size();
        link.setCut(true);
        submit(successor);
        fixture.advanceMillis(LONGER_THAN_A_LEASE_MILLIS);
        assertThat(metricsOf(successor)).contains("chervillift_holder_term 2.0");
        assertThat(workersSince(before)).doesNotContain("a1");
        faultyStore.setTableLost("");
        fixture.advanceMillis(3_000);
        assertThat(workersSince(before)).contains("w1").doesNotContain("a1");
    }

    /** Guards against starts by a holder that does not learn of an evacuation. */
    @Test
    void aHolderThatDoesNotReceiveTheOperatorsRowsStartsNothingAfterTheBound() {
        addWorkerElsewhere();
        TaskNode node = startNodeAndWait("n", WITHIN);
        faultyStore.setTableLost(OPERATOR_TABLE);
        fixture.evacuate(AWAY);
        startsWhileJobsCome(node, WITHIN.toMillis() - 1_000);
        int atBound = fixture.fleet.starts().size();
        submit(node);
        fixture.advanceMillis(LONGER_THAN_A_LEASE_MILLIS);
        assertThat(workersSince(atBound)).isEmpty();

        faultyStore.setTableLost("");
        fixture.advanceMillis(3_000);
        assertThat(workersSince(atBound)).isNotEmpty().containsOnly("w1");
    }

    /** The deployments without evacuations must not lose service with the operator's rows. */
    @Test
    void withoutTheSettingAnOldCopyOfTheOperatorsRowsKeepsNothingFromStarting() {
        TaskNode node = startNodeAndWait("n", Duration.ZERO);
        submit(node);
        faultyStore.setTableLost(OPERATOR_TABLE);
        fixture.advanceMillis(1_000);
        assertThat(fixture.fleet.starts()).hasSize(1);
        int before = fixture.fleet.starts().size();
        fixture.advanceMillis(LONGER_THAN_A_LEASE_MILLIS);
        submit(node);
        fixture.advanceMillis(1_000);
        assertThat(workersSince(before)).containsExactly("a1");
    }
}
