package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

class PaceAndAdviceTest {

    private static final long TARGET_MILLIS = 100;

    private final SchedulerFixture f = new SchedulerFixture();

    private static StepSpec longRunning(long tailTargetMillis, boolean fills) {
        return new StepSpec(
                1,
                new Resources(1_000, 100, 0),
                0,
                List.of(),
                false,
                false,
                "",
                "",
                0,
                false,
                true,
                "image",
                tailTargetMillis,
                fills,
                0,
                false);
    }

    /**
     * Lets the worker report a tail of the task that serves, and returns the orders that follow.
     */
    private List<Order.Pace> reportTail(double tail) {
        f.now += 600;
        f.scheduler.leaseGranted("w1", f.now + SchedulerFixture.LEASE);
        f.running.put(
                "w1",
                new ArrayList<>(
                        List.of(
                                new RunningTask(new TaskId("s", 0, 0, 0), 1, "", 100, tail),
                                new RunningTask(new TaskId("x", 0, 0, 0), 1, "", 100, 500))));
        f.report("w1");
        return f.plan().stream()
                .filter(Order.Pace.class::isInstance)
                .map(Order.Pace.class::cast)
                .toList();
    }

    @Test
    void aTaskThatFillsIsSlowedWhileATailIsOverItsTargetAndRaisedAgain() {
        f.addWorker("w1", 4_000);
        f.accept("s", longRunning(TARGET_MILLIS, false));
        f.accept("x", longRunning(0, true));
        f.starts();

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
    void theTaskThatServesIsNeverSlowed() {
        f.addWorker("w1", 4_000);
        f.accept("s", longRunning(TARGET_MILLIS, false));
        f.accept("x", longRunning(0, true));
        f.starts();
        assertThat(reportTail(3 * TARGET_MILLIS)).extracting(p -> p.task().job()).containsOnly("x");
    }

    private void acceptAdvisedJob() {
        QueuePolicy policy =
                new QueuePolicy(
                        SchedulerFixture.QUEUE, SchedulerFixture.POOL, 0, 2, 1.6, 600, true);
        f.scheduler.configure(
                Manifest.of(
                        2,
                        List.of(new QueueRoute("h.example", "/q/", true, policy)),
                        List.of(),
                        List.of(),
                        1_000));
        JobSpec spec =
                new JobSpec("a", "p", List.of(SchedulerFixture.step(1, 1_000)), Schedule.ONCE);
        f.scheduler.accept(new AcceptedJob(spec, policy, "", 0), 0, f.now);
    }

    @Test
    void anAdvisedStepStartsOnlyWhereItHasATicketThatHolds() {
        f.addWorker("w1", 4_000);
        f.addWorker("w2", 4_000);
        acceptAdvisedJob();
        assertThat(f.starts()).isEmpty();

        AdviceRequest question = f.scheduler.nextAdviceRequest(f.now).orElseThrow();
        assertThat(question.workers()).containsExactlyInAnyOrder("w1", "w2");
        f.scheduler.applyAdvice(question, Map.of("w2", "ticket-2"), f.now + 3_000);

        assertThat(f.starts())
                .singleElement()
                .satisfies(
                        s -> {
                            assertThat(s.worker()).isEqualTo("w2");
                            assertThat(s.ticket()).contains("ticket-2");
                        });
        assertThat(f.scheduler.nextAdviceRequest(f.now)).isEmpty();
    }

    @Test
    void aTicketThatIsOverIsNotUsedButAskedForAgain() {
        f.addWorker("w1", 4_000);
        acceptAdvisedJob();
        f.starts();
        AdviceRequest question = f.scheduler.nextAdviceRequest(f.now).orElseThrow();
        f.scheduler.applyAdvice(question, Map.of("w1", "old"), f.now + 100);
        assertThat(f.starts()).isEmpty();
        assertThat(f.scheduler.nextAdviceRequest(f.now).orElseThrow().workers())
                .containsExactly("w1");
    }
}
