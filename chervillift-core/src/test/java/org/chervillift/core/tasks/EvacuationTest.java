package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.StandstillReport.WaitingSteps;
import org.junit.jupiter.api.Test;

/** Tests that an evacuated data centre gets no tasks and loses its long-running ones. */
class EvacuationTest {

    private static final String AWAY = "dc-away";
    private static final int MANY_JOBS = 100;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void evacuate(String... dataCentres) {
        fixture.scheduler.evacuation().replace(Set.of(dataCentres));
    }

    private static StepSpec service(int count, int mayMiss, boolean gang) {
        return step(count, 1_000, List.of(), gang, true, mayMiss);
    }

    private void reportAll(String... workers) {
        fixture.now++;
        List.of(workers).forEach(fixture::report);
    }

    private int runningOn(String worker) {
        return fixture.runningByWorker.getOrDefault(worker, List.of()).size();
    }

    /** Replays the load of an evacuation: thousands of starts went to the evacuated workers. */
    @Test
    void noTaskStartsInAnEvacuatedDataCentreUntilItIsUsedAgain() {
        fixture.addWorker("a1", 1_000 * MANY_JOBS, AWAY);
        fixture.addWorker("w1", 1_000);
        evacuate(AWAY);
        for (int i = 0; i < MANY_JOBS; i++) {
            fixture.accept("job" + i, step(1, 1_000));
        }
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");

        evacuate();
        assertThat(fixture.starts())
                .hasSize(MANY_JOBS - 1)
                .extracting(Order.Start::worker)
                .containsOnly("a1");
    }

    /** A start that waited for the store was sent after the evacuation had begun. */
    @Test
    void aHeldStartIsDroppedAndItsTaskStartsElsewhere() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.accept("a", step(1, 1_000));
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
        assertThat(fixture.scheduler.startGate().hasHeldStarts()).isTrue();
        evacuate(AWAY);
        fixture.store();
        assertThat(fixture.starts()).isEmpty();
        assertThat(fixture.events)
                .extracting(SchedulerEvent::kind)
                .contains(SchedulerEvent.Kind.START_DROPPED);

        fixture.addWorker("w1", 1_000);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    /** A worker may carry out an order to start long after its call has timed out. */
    @Test
    void aStartWhoseOutcomeIsUnknownIsStopped() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.accept("a", step(1, 1_000));
        Order start = fixture.orders().getFirst();
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        assertThat(fixture.orders()).isEmpty();

        evacuate(AWAY);
        assertThat(fixture.orders()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void aRunThatEndsByItselfGoesOn() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(2, 1_000));
        fixture.starts();
        evacuate(AWAY);
        assertThat(fixture.plan()).isEmpty();
        fixture.endAll("a1", RunEnd.DONE);
        fixture.endAll("w1", RunEnd.DONE);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a").orElseThrow().isFinal()).isTrue();
    }

    /** Guards against a service that stays in the data centre, or loses several tasks at once. */
    @Test
    void tasksOfAServiceMoveOneAfterTheOtherAsFarAsItMayMissThem() {
        fixture.addWorker("a1", 3_000, AWAY);
        fixture.accept("s", service(3, 1, false));
        fixture.starts();
        reportAll("a1");
        fixture.addWorker("w1", 9_000);
        evacuate(AWAY);
        for (int moved = 1; moved <= 3; moved++) {
            assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
            assertThat(fixture.plan()).as("only one task may be missed").isEmpty();
            reportAll("a1");
            assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
            reportAll("a1", "w1");
            assertThat(runningOn("w1")).isEqualTo(moved);
        }
        assertThat(runningOn("a1")).isZero();
        assertThat(fixture.events)
                .extracting(SchedulerEvent::kind)
                .filteredOn(SchedulerEvent.Kind.EVACUATED::equals)
                .hasSize(3);
    }

    /** A step may state no limit, and all of it would be down at once. */
    @Test
    void tasksOfAServiceWithoutALimitMoveOneAfterTheOther() {
        fixture.addWorker("a1", 3_000, AWAY);
        fixture.accept("s", service(3, 0, false));
        fixture.starts();
        reportAll("a1");
        fixture.addWorker("w1", 9_000);
        evacuate(AWAY);
        assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
        assertThat(fixture.plan()).isEmpty();
        reportAll("a1");
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    /** The tasks start in the new pool of their queue, where there may be no worker. */
    @Test
    void aServiceWhoseQueueHasMovedToAnEmptyPoolStays() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.accept("s", service(1, 1, false));
        fixture.starts();
        reportAll("a1");
        fixture.addWorker("w1", 9_000);
        QueuePolicy moved = new QueuePolicy(SchedulerFixture.QUEUE, "other", 0, 2, 1.6, 600, false);
        fixture.scheduler.configure(
                Manifest.of(
                        2,
                        List.of(new QueueRoute("h.example", "/q/", true, moved)),
                        List.of(),
                        List.of(),
                        1_000));
        evacuate(AWAY);
        assertThat(fixture.plan()).isEmpty();
    }

    /** Both services saw the same free place, and one of them lost its task for nothing. */
    @Test
    void twoServicesDoNotMoveForOnePlace() {
        fixture.addWorker("a1", 2_000, AWAY);
        fixture.accept("s", service(1, 1, false));
        fixture.accept("t", service(1, 1, false));
        fixture.starts();
        reportAll("a1");
        evacuate(AWAY);
        assertThat(fixture.plan()).as("no other worker").isEmpty();
        fixture.addWorker("w1", 1_000);
        assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
        reportAll("a1");
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
        reportAll("a1", "w1");
        assertThat(fixture.plan()).isEmpty();
        assertThat(runningOn("a1")).isEqualTo(1);
    }

    /** A gang of which one task is stopped is broken, and loses the work of all. */
    @Test
    void aGangMovesAsAWholeOrNotAtAll() {
        fixture.addWorker("a1", 2_000, AWAY);
        fixture.accept("g", service(2, 0, true));
        fixture.starts();
        reportAll("a1");
        evacuate(AWAY);
        fixture.addWorker("w1", 1_000);
        assertThat(fixture.plan()).as("room for half of it").isEmpty();
        fixture.addWorker("w2", 1_000);
        assertThat(fixture.plan()).hasSize(2).hasOnlyElementsOfType(Order.Stop.class);
        reportAll("a1");
        assertThat(fixture.starts())
                .extracting(Order.Start::worker)
                .containsExactlyInAnyOrder("w1", "w2");
    }

    @Test
    void aGangThatMayMissOnlyOneTaskStays() {
        fixture.addWorker("a1", 2_000, AWAY);
        fixture.accept("g", service(2, 1, true));
        fixture.starts();
        reportAll("a1");
        fixture.addWorker("w1", 2_000);
        evacuate(AWAY);
        assertThat(fixture.plan()).isEmpty();
    }

    /** Work that may not start would be reported as standing still beside free workers. */
    @Test
    void workThatWaitsForTheEndOfAnEvacuationSaysSoAndDoesNotStandStill() {
        fixture.addWorker("a1", 9_000, AWAY);
        evacuate(AWAY);
        fixture.accept("a", step(1, 1_000));
        StandstillReport report = check();
        for (int i = 0; i < 5; i++) {
            fixture.now += 1_000;
            fixture.scheduler.leaseGranted("a1", fixture.now + SchedulerFixture.LEASE_MILLIS);
            fixture.plan();
            report = check();
        }
        assertThat(report.standing()).isEmpty();
        assertThat(report.waiting())
                .extracting(WaitingSteps::reason)
                .containsExactly(WaitReason.DATA_CENTRE_EVACUATED);
        assertThat(fixture.scheduler.evacuation().poolsWithoutOtherWorkers())
                .containsExactly(SchedulerFixture.POOL);
    }

    private StandstillReport check() {
        return fixture.scheduler.standstills().check(Optional.empty(), fixture.now, fixture.now);
    }

    /** The service has few requests to spend, and its answer would be of no use. */
    @Test
    void theAdviceServiceIsNotAskedAboutEvacuatedWorkers() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.addWorker("w1", 1_000);
        evacuate(AWAY);
        fixture.acceptAdvised("a");
        fixture.plan();
        AdviceRequest request = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        assertThat(request.workers()).containsExactly("w1");
        fixture.scheduler
                .advice()
                .applyAnswer(request, Map.of("w1", "t"), fixture.now + 5_000, fixture.now);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aTaskDoesNotWaitForItsDataInAnEvacuatedRack() {
        fixture.addWorker("a1", 1_000, AWAY);
        fixture.addWorker("w1", 1_000);
        evacuate(AWAY);
        fixture.accept("a", stepWithDataIn("rack-" + AWAY));
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    private static StepSpec stepWithDataIn(String rack) {
        return new StepSpecBuilder().dataRack(rack).build();
    }

    /** A name that the operator mistyped must change nothing, and be found. */
    @Test
    void anEvacuationOfAnUnknownDataCentreLeavesTheOrdersAsTheyWere() {
        SchedulerFixture without = new SchedulerFixture();
        evacuate("dc-unknown");
        for (SchedulerFixture each : List.of(fixture, without)) {
            each.addWorker("w1", 3_000);
            each.addWorker("w2", 2_000, AWAY);
            each.accept("s", service(2, 1, false));
            each.accept("a", step(4, 1_000));
        }
        assertThat(fixture.plan()).isEqualTo(without.plan()).hasSize(5);
        assertThat(fixture.scheduler.evacuation().dataCentresWithoutWorkers())
                .containsExactly("dc-unknown");
        assertThat(fixture.scheduler.evacuation().poolsWithoutOtherWorkers()).isEmpty();
    }
}
