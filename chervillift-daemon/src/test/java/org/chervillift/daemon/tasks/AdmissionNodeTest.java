package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.core.tasks.admission.FleetFigures;
import org.chervillift.core.tasks.admission.PoolCapacity;
import org.chervillift.core.tasks.admission.QueueForecast;
import org.chervillift.http.Json;
import org.junit.jupiter.api.Test;

/** Tests which submissions processes reject, from what the holder and the operator tell them. */
class AdmissionNodeTest {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String STANDBY_POOL = "spare";
    private static final Resources LIMIT = new Resources(2_000, 0, 0);

    private final NodeFixture fixture = new NodeFixture(STANDBY_POOL);

    AdmissionNodeTest() {
        fixture.fleet.holdMoves(true);
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 4_000);
    }

    private JobAnswer submit(TaskNode node, String id, long milliCores) {
        return submit(node, "/q/", id, milliCores);
    }

    private JobAnswer submit(TaskNode node, String prefix, String id, long milliCores) {
        JobRequest request =
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        prefix + id,
                        Optional.of(NodeFixture.KEY),
                        i ->
                                new JobSpec(
                                        i,
                                        "payload",
                                        List.of(NodeFixture.step(1, milliCores, false)),
                                        Schedule.ONCE));
        return fixture.await(node.answer(request));
    }

    private void configureLimit(long version, Resources limit) {
        Manifest plain = fixture.manifest(version, Set.of(NodeFixture.KEY));
        fixture.configure(
                Manifest.of(
                        version,
                        plain.routes(),
                        List.copyOf(plain.pools().values()),
                        List.of(new Customer("distiller", Set.of(NodeFixture.KEY), 1, limit)),
                        plain.maxBodyBytes()));
    }

    /** Guards against accepted jobs that never start. */
    @Test
    void aTaskThatFitsOnNoVmIsRejectedByAnyProcess() {
        TaskNode holder = fixture.startNodeAndWait("a");
        TaskNode other = fixture.startNodeAndWait("b");
        fixture.advanceMillis(1_000);
        for (TaskNode node : List.of(holder, other)) {
            JobAnswer answer = submit(node, JOB, 4_001);
            assertThat(answer).isInstanceOf(JobAnswer.TooLarge.class);
            assertThat(answer.toString()).contains("was not stored and has not run");
            assertThat(fixture.ask(node, JobRequest.Action.READ, JOB))
                    .isEqualTo(new JobAnswer.NoSuchJob());
        }
        assertThat(new String(other.metrics(), StandardCharsets.UTF_8))
                .contains("chervillift_job_rejections_total{cause=\"EXCEEDS_ANY_VM\"} 1.0");
    }

    /** A VM in standby has no worker until it moves. */
    @Test
    void aTaskThatFitsOnAVmInStandbyIsAccepted() {
        fixture.addWorker("s", "vm-s", STANDBY_POOL, 9_000);
        TaskNode node = fixture.startNodeAndWait("a");
        fixture.advanceMillis(1_000);
        assertThat(submit(node, JOB, 9_000)).isEqualTo(new JobAnswer.Accepted());
    }

    /** A list need not tell the capacity of a VM that is off. */
    @Test
    void nothingIsRejectedWhileTheCapacityOfAVmIsUnknown() {
        fixture.addWorker("s", "vm-s", STANDBY_POOL, 0);
        TaskNode node = fixture.startNodeAndWait("a");
        fixture.advanceMillis(1_000);
        assertThat(submit(node, JOB, 4_001)).isEqualTo(new JobAnswer.Accepted());
    }

    /** The largest VM is gone for a while, and another process becomes the holder. */
    @Test
    void aTaskThatFitsOnAVmSeenByAFormerHolderIsAccepted() {
        fixture.addWorker("s", "vm-s", STANDBY_POOL, 9_000);
        TaskNode holder = fixture.startNodeAndWait("a");
        TaskNode successor = fixture.startNodeAndWait("b");
        fixture.advanceMillis(1_000);
        fixture.fleet.leaveOut(Set.of("vm-s"));
        holder.drain();
        fixture.advanceMillis(3_000);
        assertThat(submit(successor, JOB, 9_000)).isEqualTo(new JobAnswer.Accepted());
        assertThat(submit(successor, "5c0e7a21d94b36f9", 9_001))
                .isInstanceOf(JobAnswer.TooLarge.class);
    }

    /** The holder is gone, and no other process has taken over. */
    @Test
    void figuresOfALostHolderRejectNothing() {
        TaskNode holder = fixture.startNodeAndWait("a");
        TaskNode other = fixture.startNodeAndWait("b");
        fixture.advanceMillis(1_000);
        assertThat(submit(other, JOB, 4_001)).isInstanceOf(JobAnswer.TooLarge.class);
        holder.drain();
        other.drain();
        fixture.advanceMillis(3_000);
        assertThat(submit(other, JOB, 4_001)).isEqualTo(new JobAnswer.Accepted());
    }

    /** Guards against "not stored, has not run" as the answer to a retry of an accepted job. */
    @Test
    void aJobThatIsStoredIsAcceptedAgainAfterItsLimitWasLowered() {
        TaskNode a = fixture.startNodeAndWait("a");
        TaskNode b = fixture.startNodeAndWait("b");
        assertThat(submit(a, JOB, 3_000)).isEqualTo(new JobAnswer.Accepted());
        configureLimit(2, LIMIT);
        fixture.advanceMillis(500);
        assertThat(submit(b, JOB, 3_000)).isEqualTo(new JobAnswer.Accepted());
        String newJob = "5c0e7a21d94b36f9";
        assertThat(submit(b, newJob, 3_000)).isInstanceOf(JobAnswer.TooLarge.class);
        configureLimit(3, Resources.NONE);
        fixture.advanceMillis(500);
        assertThat(submit(b, newJob, 3_000)).isEqualTo(new JobAnswer.Accepted());
    }

    /** The job was stored although no reply arrived, or will be by a call that is under way. */
    @Test
    void aJobThatMayHaveBeenStoredIsNotRejected() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(fixture.store, fixture.scheduler);
        TaskNode node = fixture.startNodeAndWait("a", faultyStore);
        faultyStore.setCommitsLost(true);
        assertThat(submit(node, JOB, 3_000)).isInstanceOf(JobAnswer.OutcomeUnknown.class);
        configureLimit(2, LIMIT);
        faultyStore.setCommitsLost(false);
        fixture.advanceMillis(1_000);
        assertThat(submit(node, JOB, 3_000)).isEqualTo(new JobAnswer.Accepted());
    }

    /** Such a job was stored, and waited for ever. */
    @Test
    void aJobThatCanNeverBeServedIsNotStoredWhileItCannotBeReadWhetherItIs() {
        RejectingStore store = new RejectingStore(fixture.store);
        TaskNode node = fixture.startNodeAndWait("a", store);
        configureLimit(2, LIMIT);
        fixture.advanceMillis(1_000);
        store.setJobReadsRejected(true);
        assertThat(submit(node, JOB, 3_000)).isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(store.calls()).doesNotContainKey("commit jobs");
        store.setJobReadsRejected(false);
        fixture.advanceMillis(1_000);
        assertThat(submit(node, JOB, 3_000)).isInstanceOf(JobAnswer.TooLarge.class);
    }

    /** The limit was raised, but changes of the configuration are not received. */
    @Test
    void aProcessThatDoesNotFollowTheManifestRejectsNothing() {
        configureLimit(2, LIMIT);
        FaultInjectingStore faultyStore = new FaultInjectingStore(fixture.store, fixture.scheduler);
        TaskNode node = fixture.startNodeAndWait("a", faultyStore);
        assertThat(submit(node, JOB, 3_000)).isInstanceOf(JobAnswer.TooLarge.class);
        fixture.advanceMillis(2_100);
        faultyStore.setFeedsLost(true);
        fixture.advanceMillis(6_000);
        assertThat(submit(node, JOB, 3_000)).isEqualTo(new JobAnswer.Accepted());
    }

    /** Guards against accepted jobs that start when they have no more value. */
    @Test
    void aJobThatUrgentWorkLeavesNoTimeForIsToldToComeBackUntilThatWorkIsDone() {
        Manifest plain = fixture.manifest(2, Set.of(NodeFixture.KEY));
        QueuePolicy urgent = new QueuePolicy("urgent", NodeFixture.POOL, 0, 2, 1.6, 60_000, false);
        QueuePolicy later = new QueuePolicy("later", NodeFixture.POOL, 1, 2, 1.6, 600, false);
        fixture.configure(
                Manifest.of(
                        2,
                        List.of(
                                new QueueRoute("h.example", "/q/", false, urgent),
                                new QueueRoute("h.example", "/l/", false, later)),
                        List.copyOf(plain.pools().values()),
                        List.copyOf(plain.customers().values()),
                        plain.maxBodyBytes()));
        fixture.startNodeAndWait("a");
        TaskNode other = fixture.startNodeAndWait("b");
        for (int i = 0; i < 100; i++) {
            String id = String.format("%016x", i);
            assertThat(submit(other, id, 1_000)).isEqualTo(new JobAnswer.Accepted());
        }
        fixture.advanceMillis(1_000);
        JobAnswer answer = submit(other, "/l/", JOB, 1_000);
        assertThat(answer).isInstanceOf(JobAnswer.TooBusy.class);
        assertThat(((JobAnswer.TooBusy) answer).retryAfter())
                .isBetween(SECOND, SECOND.multipliedBy(30));
        assertThat(fixture.ask(other, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.NoSuchJob());
        fixture.advanceMillis(13_000);
        assertThat(submit(other, "/l/", JOB, 1_000)).isEqualTo(new JobAnswer.Accepted());
    }

    private static FleetFigures figures(int queues) {
        List<QueueForecast> forecasts = new ArrayList<>();
        for (int i = 0; i < queues; i++) {
            forecasts.add(new QueueForecast("queue-" + i, 5_000, LIMIT, 100));
        }
        return new FleetFigures(List.of(new PoolCapacity("p", LIMIT)), forecasts);
    }

    /** During an upgrade, processes of both releases read and write the row. */
    @Test
    void rowsOfBothReleasesAreRead() {
        record FormerCounts(long asOfStoreMillis, List<PendingCounts.PendingCount> queues) {}
        PendingCounts counts = PendingCounts.of(Map.of("quick", 3), 50_000, figures(1));
        FormerCounts former = Json.decode(Json.encode(counts), FormerCounts.class);
        assertThat(former.queues()).isEqualTo(counts.queues());
        assertThat(Json.decode(Json.encode(counts), PendingCounts.class)).isEqualTo(counts);
        assertThat(Json.decode(Json.encode(former), PendingCounts.class))
                .isEqualTo(PendingCounts.of(Map.of("quick", 3), 50_000));
    }

    /** A row that fits in no row of the store would leave callers without counts. */
    @Test
    void figuresBeyondTheBoundAreLeftOutAndTheCountsAreWritten() {
        assertThat(PendingCounts.of(Map.of(), 1, figures(100)).figures().queues()).hasSize(100);
        PendingCounts bounded = PendingCounts.of(Map.of("quick", 3), 1, figures(1_000));
        assertThat(bounded.figures()).isEqualTo(FleetFigures.UNKNOWN);
        assertThat(bounded.of("quick")).isEqualTo(3);
    }
}
