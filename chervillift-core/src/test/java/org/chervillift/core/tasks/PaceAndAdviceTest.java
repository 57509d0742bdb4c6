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

    private final BoardFixture f = new BoardFixture();

    private static StepSpec lasting(long tailTargetMillis, boolean fills) {
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
    private List<Order.Pace> paces(double tail) {
        f.now += 600;
        f.board.leaseGranted("w1", f.now + BoardFixture.LEASE);
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
        f.worker("w1", 4_000);
        f.accept("s", lasting(TARGET_MILLIS, false));
        f.accept("x", lasting(0, true));
        f.starts();

        List<Integer> percents = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            paces(3 * TARGET_MILLIS).forEach(p -> percents.add(p.percent()));
        }
        assertThat(percents).containsExactly(50, 25, 12, 0);

        assertThat(paces(0.8 * TARGET_MILLIS)).isEmpty();
        for (int i = 0; i < 8; i++) {
            paces(0.2 * TARGET_MILLIS).forEach(p -> percents.add(p.percent()));
        }
        assertThat(percents.get(percents.size() - 1)).isPositive();
    }

    @Test
    void theTaskThatServesIsNeverSlowed() {
        f.worker("w1", 4_000);
        f.accept("s", lasting(TARGET_MILLIS, false));
        f.accept("x", lasting(0, true));
        f.starts();
        assertThat(paces(3 * TARGET_MILLIS)).extracting(p -> p.task().job()).containsOnly("x");
    }

    private void advised() {
        QueuePolicy policy =
                new QueuePolicy(BoardFixture.QUEUE, BoardFixture.POOL, 0, 2, 1.6, 600, true);
        f.board.configure(
                Manifest.of(
                        2,
                        List.of(new QueueRoute("h.example", "/q/", true, policy)),
                        List.of(),
                        List.of(),
                        1_000));
        JobSpec spec = new JobSpec("a", "p", List.of(BoardFixture.step(1, 1_000)), Schedule.ONCE);
        f.board.accept(new AcceptedJob(spec, policy, "", 0), 0, f.now);
    }

    @Test
    void anAdvisedStepStartsOnlyWhereItHasATicketThatHolds() {
        f.worker("w1", 4_000);
        f.worker("w2", 4_000);
        advised();
        assertThat(f.starts()).isEmpty();

        AdviceQuestion question = f.board.nextQuestion(f.now).orElseThrow();
        assertThat(question.workers()).containsExactlyInAnyOrder("w1", "w2");
        f.board.advised(question, Map.of("w2", "ticket-2"), f.now + 3_000);

        assertThat(f.starts())
                .singleElement()
                .satisfies(
                        s -> {
                            assertThat(s.worker()).isEqualTo("w2");
                            assertThat(s.ticket()).contains("ticket-2");
                        });
        assertThat(f.board.nextQuestion(f.now)).isEmpty();
    }

    @Test
    void aTicketThatIsOverIsNotUsedButAskedForAgain() {
        f.worker("w1", 4_000);
        advised();
        f.starts();
        AdviceQuestion question = f.board.nextQuestion(f.now).orElseThrow();
        f.board.advised(question, Map.of("w1", "old"), f.now + 100);
        assertThat(f.starts()).isEmpty();
        assertThat(f.board.nextQuestion(f.now).orElseThrow().workers()).containsExactly("w1");
    }
}
