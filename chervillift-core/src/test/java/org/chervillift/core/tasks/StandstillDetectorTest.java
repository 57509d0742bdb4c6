package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.core.tasks.StandstillReport.StandingJobs;
import org.chervillift.core.tasks.StandstillReport.WaitingSteps;
import org.junit.jupiter.api.Test;

/**
 * Tests what is said of jobs that stand still.
 *
 * <p>On the users' machines more than half of all jobs stood still, and nothing said why.
 */
class StandstillDetectorTest {

    private static final long SECOND = 1_000;

    private SchedulerFixture fixture = new SchedulerFixture();

    private StandstillReport check() {
        return fixture.scheduler.standstills().check(Optional.empty(), fixture.now, fixture.now);
    }

    /** Returns why the steps wait, one reason a step. */
    private List<WaitReason> waitingFor() {
        return check().waiting().stream().map(WaitingSteps::reason).toList();
    }

    /** Lets seconds pass in which the holder renews leases, plans if it is told to, and checks. */
    private StandstillReport pass(int seconds, boolean plans) {
        StandstillReport last = check();
        for (int i = 0; i < seconds; i++) {
            fixture.now += SECOND;
            renewLeases();
            if (plans) {
                fixture.scheduler.plan(fixture.now, fixture.now);
            }
            last = check();
        }
        return last;
    }

    private void renewLeases() {
        fixture.scheduler
                .listedWorkers()
                .forEach(
                        w ->
                                fixture.scheduler.leaseGranted(
                                        w.id(), fixture.now + SchedulerFixture.LEASE_MILLIS));
    }

    private static WaitReason reasonOf(StandstillReport report) {
        assertThat(report.standing()).hasSize(1);
        return report.standing().getFirst().reason();
    }

    private static StepSpec limitedStep(int count, String label, int maxPerWorker) {
        return new StepSpecBuilder()
                .count(count)
                .requiredLabel(label)
                .maxPerWorker(maxPerWorker)
                .build();
    }

    @Test
    void aJobThatRunsDoesNotStand() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.plan();

        StandstillReport report = pass(10, true);
        assertThat(report.waiting()).isEmpty();
        assertThat(report.standing()).isEmpty();
    }

    /** A task that was never started again showed in no log, since others of its job ran. */
    @Test
    void aJobStandsOfWhichALongRunningTaskWaitsBesideOthersThatRun() {
        fixture.addWorker("w1", 1_000);
        fixture.advise();
        fixture.accept("a", SchedulerFixture.step(2, 1_000, List.of(), false, true, 0));
        fixture.starts();
        AdviceRequest request = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(request, Map.of("w1", "t"), fixture.now + SECOND, fixture.now);
        assertThat(fixture.starts()).hasSize(1);
        assertThat(pass(10, true).standing()).isEmpty();

        fixture.addWorker("w2", 4_000);
        assertThat(pass(5, true).standing()).isEmpty();
        assertThat(reasonOf(pass(2, true))).isEqualTo(WaitReason.NO_ADVICE);
    }

    @Test
    void aFullFleetDoesNotStand() {
        fixture.addWorker("w1", 4_000);
        fixture.addWorker("w2", 4_000);
        fixture.accept("full", SchedulerFixture.step(8, 1_000));
        fixture.plan();
        for (int i = 0; i < 20; i++) {
            fixture.accept("j" + i, SchedulerFixture.step(8, 1_000));
        }

        StandstillReport report = pass(60, true);
        assertThat(report.standing()).isEmpty();
        assertThat(report.waiting())
                .containsExactly(new WaitingSteps(SchedulerFixture.POOL, WaitReason.NO_ROOM, 20));
    }

    @Test
    void aFleetWhoseShortTasksFollowEachOtherDoesNotStand() {
        fixture.addWorker("w1", 2_000);
        fixture.accept("a", SchedulerFixture.step(1_000, 1_000));
        for (int i = 0; i < 20; i++) {
            fixture.plan();
            fixture.now += SECOND / 2;
            fixture.endAll("w1", RunEnd.DONE);
            renewLeases();
            fixture.now += SECOND / 2;
            assertThat(check().standing()).isEmpty();
        }
    }

    @Test
    void aJobThatNobodyPlansStandsAfterThreeSecondsAndGoesOnOnceItIsPlanned() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(2, 1_000));
        fixture.accept("b", SchedulerFixture.step(2, 1_000));

        assertThat(pass(2, false).standing()).isEmpty();
        assertThat(pass(1, false).standing())
                .containsExactly(
                        new StandingJobs(
                                SchedulerFixture.POOL,
                                WaitReason.NOT_PLANNED,
                                2,
                                "a",
                                new TaskId("a", 0, 0, 0).toString(),
                                3_000,
                                1,
                                1));

        fixture.plan();
        assertThat(check().standing()).isEmpty();
    }

    @Test
    void theHoldersOwnReasonGoesFirst() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        pass(3, false);

        Optional<WaitReason> suspension = Optional.of(WaitReason.STARTS_SUSPENDED);
        assertThat(
                        reasonOf(
                                fixture.scheduler
                                        .standstills()
                                        .check(suspension, fixture.now, fixture.now)))
                .isEqualTo(WaitReason.STARTS_SUSPENDED);
    }

    @Test
    void aStartThatIsNotStoredIsHeld() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(4, true);
        assertThat(reasonOf(report)).isEqualTo(WaitReason.START_HELD);
        assertThat(report.starts().held()).isEqualTo(1);
        assertThat(report.starts().unanswered()).isZero();
    }

    @Test
    void anOrderThatIsNeverAnsweredIsCountedWithItsAge() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.orders();

        StandstillReport report = pass(4, true);
        assertThat(reasonOf(report)).isEqualTo(WaitReason.START_UNANSWERED);
        assertThat(report.starts().unanswered()).isEqualTo(1);
        assertThat(report.starts().oldestUnansweredMillis()).isEqualTo(4 * SECOND);
        assertThat(report.starts().orderAge()).hasValue(4 * SECOND);
        assertThat(report.starts().planAge()).hasValue(0);
    }

    @Test
    void ordersThatAreNeverAnsweredFillTheWorkerForOthers() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(4, 1_000));
        fixture.orders();
        fixture.accept("b", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(4, true);
        assertThat(report.standing())
                .extracting(StandingJobs::reason, StandingJobs::oldestJob)
                .containsExactly(
                        tuple(WaitReason.START_UNANSWERED, "a"),
                        tuple(WaitReason.ROOM_HELD_BY_STARTS, "b"));
    }

    @Test
    void aStepOfThePredecessorWaitsForItsWorkers() {
        fixture.addWorker("w1", 4_000);
        fixture.scheduler.addPredecessorWorker("w2", SchedulerFixture.POOL);
        fixture.acceptBegun("a", SchedulerFixture.step(1, 1_000));

        assertThat(reasonOf(pass(4, true))).isEqualTo(WaitReason.PREDECESSOR_WORKERS);
    }

    @Test
    void aTaskThatWasRefusedWaits() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order start = fixture.orders().getFirst();
        fixture.scheduler.applyAnswer(start, OrderAnswer.RUN_TOO_OLD, fixture.now);

        assertThat(waitingFor()).containsExactly(WaitReason.DELAYED);
    }

    @Test
    void aGangWaitsForEachOfItsTasks() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(2, 1_000, List.of(), true, false, 0));
        List<Order> starts = fixture.orders();
        fixture.scheduler.applyAnswer(starts.get(0), OrderAnswer.RUN_TOO_OLD, fixture.now);
        assertThat(waitingFor()).containsExactly(WaitReason.START_UNANSWERED);

        fixture.scheduler.applyAnswer(starts.get(1), OrderAnswer.TICKET_REFUSED, fixture.now);
        assertThat(waitingFor()).containsExactly(WaitReason.GANG_INCOMPLETE);
    }

    @Test
    void aJobWithAsManyTasksAsAreKeptBeginsNoOther() {
        int most = JobSizeLimits.MAX_BEGUN_TASKS;
        for (int i = 0; i < 20; i++) {
            fixture.addWorker("w" + i, 10_000);
        }
        fixture.accept("a", SchedulerFixture.step(most, 1), SchedulerFixture.step(1, 1));
        fixture.plan();

        assertThat(waitingFor()).containsExactly(WaitReason.OPEN_RUNS_LIMIT);
    }

    private void crash(String worker) {
        fixture.runningByWorker.remove(worker);
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
    }

    @Test
    void aTaskThatCrashedWorkersWaitsForOneOfItsOwn() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.plan();
        crash("w1");
        fixture.addWorker("w2", 4_000);
        fixture.plan();
        fixture.addWorker("w3", 8_000);
        fixture.accept("b", SchedulerFixture.step(1, 3_500));
        fixture.plan();
        crash("w2");
        fixture.plan();

        assertThat(waitingFor()).containsExactly(WaitReason.ISOLATION);
    }

    @Test
    void aGangNeedsRoomForAllOfItsTasks() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(5, 1_000, List.of(), true, false, 0));

        StandstillReport report = pass(5, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.NO_ROOM);
        assertThat(report.standing()).isEmpty();
    }

    @Test
    void aCustomerAtItsLimitDoesNotStand() {
        fixture = new SchedulerFixture(1, new Resources(2_000, 0, 0));
        fixture.addWorker("w1", 8_000);
        fixture.accept("a", SchedulerFixture.step(2, 1_000));
        fixture.plan();
        fixture.accept("b", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(5, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.CUSTOMER_LIMIT);
        assertThat(report.standing()).isEmpty();
    }

    @Test
    void aPoolWithoutWorkersDoesNotStand() {
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(5, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.NO_WORKER);
        assertThat(report.standing()).isEmpty();
    }

    @Test
    void workersThatHaveNotReportedAreNamed() {
        fixture.scheduler.workerListed(SchedulerFixture.entry("w1", 4_000), fixture.now);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        assertThat(reasonOf(pass(4, true))).isEqualTo(WaitReason.WORKERS_NOT_REPORTED);
    }

    @Test
    void workersThatDoNotAnswerAreNamedAlsoIfOthersAreFull() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("full", SchedulerFixture.step(4, 1_000));
        fixture.plan();
        fixture.addWorker("w2", 4_000);
        fixture.scheduler.setReachable("w2", false, fixture.now);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(4, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.NO_ROOM);
        assertThat(reasonOf(report)).isEqualTo(WaitReason.WORKERS_UNREACHABLE);
        assertThat(report.standing().getFirst().usableWorkers()).isEqualTo(1);
        assertThat(report.standing().getFirst().workers()).isEqualTo(2);
    }

    @Test
    void workersThatAreCordonedAreNamed() {
        fixture.addWorker("w1", 4_000);
        fixture.scheduler.setCordoned("w1", true);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        assertThat(reasonOf(pass(4, true))).isEqualTo(WaitReason.WORKERS_LEAVING);
    }

    @Test
    void workersThatDrainAreNoPlace() {
        fixture.addWorker("w1", 4_000);
        fixture.scheduler.workerListed(SchedulerFixture.drainingEntry("w1", 4_000), fixture.now);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(4, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.WORKERS_LEAVING);
        assertThat(report.standing()).isEmpty();
    }

    @Test
    void workersThatBackOffAreNamed() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order start = fixture.orders().getFirst();
        fixture.scheduler.applyAnswer(start, OrderAnswer.NOTHING_DONE, fixture.now);

        assertThat(waitingFor()).containsExactly(WaitReason.WORKERS_BACKING_OFF);
    }

    @Test
    void workersWithAShortLeaseAreNamed() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.now += SchedulerFixture.LEASE_MILLIS;

        assertThat(waitingFor()).containsExactly(WaitReason.WORKER_LEASES_SHORT);
    }

    @Test
    void aMissingLabelIsNamedAndIsNoPlace() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", limitedStep(1, "gpu", 0));

        StandstillReport report = pass(4, true);
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.LABEL_MISSING);
        assertThat(report.standing()).isEmpty();
    }

    @Test
    void aStepWithoutAdviceSaysSo() {
        fixture.advise();
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        assertThat(reasonOf(pass(4, true))).isEqualTo(WaitReason.NO_ADVICE);
    }

    @Test
    void aWorkerThatIsKeptFreeForALargerStepIsNamed() {
        fixture.addWorker("w1", 64_000);
        fixture.accept("first", SchedulerFixture.step(1, 20_000));
        fixture.plan();
        fixture.accept("large", SchedulerFixture.step(1, 50_000, List.of(), false, true, 0));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));

        StandstillReport report = pass(4, true);
        assertThat(report.waiting())
                .containsExactlyInAnyOrder(
                        new WaitingSteps(SchedulerFixture.POOL, WaitReason.NO_ROOM, 1),
                        new WaitingSteps(SchedulerFixture.POOL, WaitReason.WORKER_KEPT_FREE, 1));
        assertThat(reasonOf(report)).isEqualTo(WaitReason.WORKER_KEPT_FREE);
    }

    @Test
    void everyObstacleOfAWorkerHasItsReason() {
        for (WorkerObstacle obstacle : WorkerObstacle.values()) {
            assertThat(WaitReason.of(obstacle)).isNotNull();
        }
    }
}
