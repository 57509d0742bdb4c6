package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

class PaceAndAdviceTest {

    private static final long TARGET_MILLIS = 100;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static StepSpec longRunning(long tailTargetMillis, boolean fillsSpareCapacity) {
        return SchedulerFixture.imageStep(0, true, tailTargetMillis, fillsSpareCapacity);
    }

    /**
     * Reports a tail latency of the task that serves users; returns the orders to change the pace.
     */
    private List<Order.Pace> reportTail(double tailMillis) {
        fixture.now += 600;
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        fixture.runningByWorker.put(
                "w1",
                new ArrayList<>(
                        List.of(
                                new RunningTask(new TaskId("s", 0, 0, 0), 1, "", 100, tailMillis),
                                new RunningTask(new TaskId("x", 0, 0, 0), 1, "", 100, 500))));
        fixture.report("w1");
        return fixture.plan().stream()
                .filter(Order.Pace.class::isInstance)
                .map(Order.Pace.class::cast)
                .toList();
    }

    @Test
    void aCapacityFillingTaskIsThrottledWhileATailIsAboveItsTargetAndSpedUpAfterwards() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("s", longRunning(TARGET_MILLIS, false));
        fixture.accept("x", longRunning(0, true));
        fixture.starts();

        List<Integer> percents = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            reportTail(3 * TARGET_MILLIS).forEach(p -> percents.add(p.percent()));
        }
        assertThat(percents).containsExactly(50, 25, 12, 0);

        assertThat(reportTail(0.8 * TARGET_MILLIS)).isEmpty();
        for (int i = 0; i < 8; i++) {
            reportTail(0.2 * TARGET_MILLIS).forEach(p -> percents.add(p.percent()));
        }
        assertThat(percents.get(percents.size() - 1)).isPositive();
    }

    @Test
    void aTaskThatServesUsersIsNeverThrottled() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("s", longRunning(TARGET_MILLIS, false));
        fixture.accept("x", longRunning(0, true));
        fixture.starts();
        assertThat(reportTail(3 * TARGET_MILLIS)).extracting(p -> p.task().job()).containsOnly("x");
    }

    @Test
    void anAdvisedStepStartsOnlyOnAWorkerWithAValidTicket() {
        fixture.addWorker("w1", 4_000);
        fixture.addWorker("w2", 4_000);
        fixture.acceptAdvised("a");
        assertThat(fixture.starts()).isEmpty();

        AdviceRequest request = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        assertThat(request.workers()).containsExactlyInAnyOrder("w1", "w2");
        fixture.scheduler
                .advice()
                .applyAnswer(request, Map.of("w2", "ticket-2"), fixture.now + 3_000, fixture.now);

        assertThat(fixture.starts())
                .singleElement()
                .satisfies(
                        s -> {
                            assertThat(s.worker()).isEqualTo("w2");
                            assertThat(s.ticket()).contains("ticket-2");
                        });
        assertThat(fixture.scheduler.advice().nextRequest(fixture.now)).isEmpty();
    }

    @Test
    void anExpiredTicketIsNotUsedButRequestedAgain() {
        fixture.addWorker("w1", 4_000);
        fixture.acceptAdvised("a");
        fixture.starts();
        AdviceRequest request = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(request, Map.of("w1", "old"), fixture.now + 100, fixture.now);
        fixture.now += 80;
        assertThat(fixture.starts()).isEmpty();
        assertThat(fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow().workers())
                .containsExactly("w1");
    }

    /** A worker that was not allowed counted as part of the pool after its end. */
    @Test
    void adviceIsRequestedAgainAfterWorkersThatWereNotAllowedHaveBeenReplaced() {
        fixture.addWorker("w1", 4_000);
        fixture.addWorker("w2", 4_000);
        fixture.acceptAdvised("a");
        fixture.starts();
        AdviceRequest first = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(first, Map.of("w1", "ticket"), fixture.now + 300, fixture.now);

        replace("w2", "w3");
        AdviceRequest second = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(second, Map.of("w1", "ticket"), fixture.now + 300, fixture.now);
        fixture.now += 1_000;

        assertThat(fixture.scheduler.advice().nextRequest(fixture.now))
                .hasValueSatisfying(r -> assertThat(r.workers()).contains("w1"));
    }

    /** Ends a worker, lets its lease run out, and adds another worker. */
    private void replace(String worker, String successor) {
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
        fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
        fixture.report("w1");
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        fixture.plan();
        fixture.addWorker(successor, 4_000);
    }
}
