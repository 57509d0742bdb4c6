package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnansweredStartTest {

    private static final long STEP_MILLIS = 400;
    private static final int STEPS = 25;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void passTime() {
        fixture.now += STEP_MILLIS;
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    /** A start that was lost on its way kept its run STARTING, and the worker full, for ever. */
    @Test
    void taskStartsAgainAfterItsOrderWasNeverAnswered() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order lost = fixture.orders().getFirst();

        List<Order.Start> later = new ArrayList<>();
        for (int i = 0; i < STEPS && later.isEmpty(); i++) {
            passTime();
            later.addAll(fixture.starts());
            passTime();
            fixture.report("w1");
        }
        assertThat(later).hasSize(1);
        assertThat(later.getFirst().run()).isGreaterThan(lost.run());
    }

    /** A start that waits for progress to be stored has not been sent, however long it waits. */
    @Test
    void heldStartIsSentOnceTheProgressIsStored() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        for (int i = 0; i < STEPS; i++) {
            assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
            passTime();
            fixture.report("w1");
        }
        fixture.store();
        assertThat(fixture.starts()).hasSize(1);
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
    }
}
