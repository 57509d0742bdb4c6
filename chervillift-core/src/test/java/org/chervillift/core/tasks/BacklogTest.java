package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.admission.WaitingWork;
import org.junit.jupiter.api.Test;

/** Tests which waiting work is sure to go before jobs of less urgent queues. */
class BacklogTest {

    private static List<WaitingWork> waitingWork(SchedulerFixture fixture) {
        fixture.plan();
        return fixture.scheduler.backlog().waitingWork(fixture.now);
    }

    /**
     * Guards against rejections because of work that waits for its customer's limit, not for room.
     */
    @Test
    void aCustomerAtItsLimitTakesNoMoreRoom() {
        SchedulerFixture fixture = new SchedulerFixture(1, new Resources(3_000, 0, 0));
        fixture.addWorker("w", 8_000);
        fixture.accept("a", SchedulerFixture.step(5, 1_000));
        assertThat(waitingWork(fixture))
                .singleElement()
                .extracting(WaitingWork::customerMilliCores)
                .isEqualTo(0L);
    }

    /** Guards against rejections because of tasks that leave room which others may take. */
    @Test
    void tasksThatMayWaitForSomethingElseThanRoomAreNotCounted() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.accept("gang", SchedulerFixture.step(4, 1_000, List.of(), true, false, 0));
        fixture.accept("coupled", RackFixture.step(4, 1_000, "", true));
        fixture.accept("spread", SchedulerFixture.stepWithMaxPerWorker(4, 1));
        fixture.accept("service", SchedulerFixture.step(4, 1_000, List.of(), false, true, 0));
        assertThat(waitingWork(fixture)).isEmpty();
    }

    /** Guards against forecasts that are too late: the work of late jobs is left out of them. */
    @Test
    void lateWorkIsNotCounted() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.accept("a", SchedulerFixture.step(2, 1_000));
        assertThat(waitingWork(fixture).getFirst().work()).isEqualTo(2e6);
        fixture.now += 10_000;
        assertThat(waitingWork(fixture)).isEmpty();
    }
}
