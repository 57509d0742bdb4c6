package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests about which step the advice service is asked next. */
class AdvicePlannerTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** A ticket of a worker that takes no task counts as usable, so no other one is asked for. */
    @Test
    void aTicketOfAWorkerThatTakesNoTaskDoesNotKeepAStepFromAskingForOthers() {
        fixture.addWorker("w1", 4_000);
        fixture.acceptAdvised("a");
        fixture.starts();
        AdviceRequest first = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(first, Map.of("w1", "t"), fixture.now + 60_000, fixture.now);
        fixture.scheduler.setReachable("w1", false, fixture.now);
        fixture.addWorker("w2", 4_000);
        assertThat(fixture.starts()).isEmpty();
        assertThat(fixture.scheduler.advice().nextRequest(fixture.now))
                .hasValueSatisfying(r -> assertThat(r.workers()).contains("w2"));
    }

    /** A question that fails is asked again and again before those of other jobs. */
    @Test
    void aQuestionThatAlwaysFailsDoesNotKeepOtherStepsFromBeingAskedAbout() {
        fixture.addWorker("w1", 4_000);
        fixture.acceptAdvised("a");
        fixture.acceptAdvised("b");
        fixture.starts();
        List<String> asked = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            AdviceRequest next = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
            asked.add(next.job());
            fixture.scheduler.advice().recordFailure(next, fixture.now);
            fixture.now += 200;
        }
        assertThat(asked).contains("b");
    }
}
