package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests what a process tells while jobs stand still.
 *
 * <p>On the users' machines most jobs stood still, and no metric told that or why.
 */
class StandstillNodeTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final long LONGER_THAN_ANY_AGE_ALLOWED_MILLIS = 4_000;
    private static final long STANDSTILL_SEEN_MILLIS = 6_000;
    private static final String STANDING = "chervillift_standing_jobs{";
    private static final String HOLDER_AGE = "chervillift_holder_age_seconds{of=\"%s\"}";

    private final NodeFixture fixture = new NodeFixture();
    private final FaultInjectingStore faultyStore =
            new FaultInjectingStore(fixture.store, fixture.scheduler);

    private static String metricsOf(TaskNode node) {
        return new String(node.metrics(), StandardCharsets.UTF_8);
    }

    private static String standing(String reason) {
        return STANDING + "pool=\"" + NodeFixture.POOL + "\",reason=\"" + reason + "\"} 1.0";
    }

    /** Returns the value of a series, which must be there. */
    private static double valueOf(TaskNode node, String series) {
        List<String> lines = metricsOf(node).lines().filter(l -> l.startsWith(series)).toList();
        assertThat(lines).hasSize(1);
        return Double.parseDouble(lines.getFirst().substring(series.length()).trim());
    }

    private void submit(TaskNode node) {
        assertThat(fixture.ask(node, Action.SUBMIT, JOB)).isEqualTo(new JobAnswer.Accepted());
    }

    private TaskNode startNodeWithVm() {
        fixture.addVm("a");
        fixture.fleet.sendHeartbeats(HEARTBEAT);
        return fixture.startNodeAndWait("h", faultyStore);
    }

    @Test
    void aHealthyFleetReportsNoStandstill() {
        TaskNode node = startNodeWithVm();
        for (int i = 0; i < 40; i++) {
            fixture.await(
                    node.answer(
                            NodeFixture.request(
                                    Action.SUBMIT, "%016x".formatted(i), NodeFixture.KEY, 10)));
            fixture.advanceMillis(100);
            assertThat(metricsOf(node)).doesNotContain(STANDING);
        }
        fixture.advanceMillis(STANDSTILL_SEEN_MILLIS);

        assertThat(metricsOf(node)).doesNotContain(STANDING);
        assertThat(metricsOf(node))
                .contains("chervillift_waiting_steps{pool=\"proofs\",reason=\"NO_ROOM\"}");
        assertThat(valueOf(node, "chervillift_copy_age_seconds{table=\"jobs\"}")).isLessThan(1.0);
        assertThat(valueOf(node, HOLDER_AGE.formatted("plan"))).isLessThan(0.2);
        assertThat(valueOf(node, HOLDER_AGE.formatted("standstill_check")))
                .isLessThanOrEqualTo(1.0);
    }

    @Test
    void jobsThatStandSinceStartsAreSuspendedAreReportedUntilTheyGoOn() {
        TaskNode node = startNodeWithVm();
        faultyStore.setTableLost(new FleetRowCodec().workerTable());
        fixture.advanceMillis(LONGER_THAN_ANY_AGE_ALLOWED_MILLIS);
        submit(node);
        fixture.advanceMillis(STANDSTILL_SEEN_MILLIS);

        assertThat(metricsOf(node)).contains(standing("STARTS_SUSPENDED"));
        assertThat(valueOf(node, "chervillift_oldest_standing_seconds{pool=\"proofs\"}"))
                .isGreaterThanOrEqualTo(3.0);
        assertThat(valueOf(node, "chervillift_copy_age_seconds{table=\"workers\"}"))
                .isGreaterThan(LONGER_THAN_ANY_AGE_ALLOWED_MILLIS / 1_000.0);

        faultyStore.setTableLost("");
        fixture.advanceMillis(LONGER_THAN_ANY_AGE_ALLOWED_MILLIS);
        assertThat(metricsOf(node)).doesNotContain(STANDING);
    }

    @Test
    void aWriteOfProgressThatHangsIsSeenAsHeldStarts() {
        fixture.addVm("a");
        TaskNode node = fixture.startNodeAndWait("h");
        fixture.delayingStore.hold(w -> w.key().table().equals(StoreLayout.PROGRESS_TABLE));
        submit(node);
        fixture.advanceMillis(STANDSTILL_SEEN_MILLIS);

        assertThat(metricsOf(node)).contains(standing("START_HELD"));
        assertThat(valueOf(node, "chervillift_open_starts{state=\"held\"}")).isEqualTo(1.0);
    }

    @Test
    void aHolderThatCannotReadTheJobsIsNotReady() {
        faultyStore.setTableLost(StoreLayout.PROGRESS_TABLE);
        TaskNode node = startNodeWithVm();
        fixture.advanceMillis(STANDSTILL_SEEN_MILLIS);

        assertThat(valueOf(node, "chervillift_holder_ready{of=\"jobs\"}")).isZero();
        assertThat(valueOf(node, HOLDER_AGE.formatted("term"))).isGreaterThan(3.0);
    }

    @Test
    void aFormerHolderReportsNothingOfTheBoard() {
        TaskNode node = startNodeWithVm();
        fixture.advanceMillis(2_000);
        assertThat(metricsOf(node)).contains("chervillift_copy_age_seconds{");

        node.drain();
        fixture.advanceMillis(2_000);
        assertThat(metricsOf(node))
                .doesNotContain("chervillift_copy_age_seconds{")
                .doesNotContain("chervillift_holder_age_seconds{")
                .doesNotContain("chervillift_open_starts{");
    }

    @Test
    void aProcessThatIsNotTheHolderTellsWhoIsAndSinceWhenTheLeaseIsUnchanged() {
        fixture.startNodeAndWait("a");
        TaskNode other = fixture.startNodeAndWait("b");
        fixture.advanceMillis(2_000);

        String series =
                "chervillift_lease_unchanged_seconds"
                        + "{standing=\"HELD_BY_OTHER\",term=\"1\",vm=\"a\"}";
        assertThat(valueOf(other, series)).isLessThan(1.0);
        assertThat(metricsOf(other)).doesNotContain("chervillift_copy_age_seconds{");
    }
}
