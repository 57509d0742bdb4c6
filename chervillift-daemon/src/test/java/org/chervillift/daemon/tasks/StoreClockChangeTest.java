package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

/** Tests that work goes on when the store's clock starts anew, or is slow or fast. */
class StoreClockChangeTest {

    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final long TIME_TO_START_MILLIS = 3_000;

    /** The drift of 0.5% exceeds any age allowed by then. */
    private static final long LONG_DRIFT_MILLIS = 600_000;

    private static final long LONGER_THAN_A_COUNT_IS_USED_MILLIS = 10_000;
    private static final long DRIFT_DIVISOR = 200;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String LATER_JOB = "5c0e7a21d94b36f9";

    private final NodeFixture fixture = new NodeFixture();
    private final TaskNode first = startFleet();
    private final TaskNode second = fixture.startNodeAndWait("b");
    private final long changedAt = nowMillis();

    private TaskNode startFleet() {
        fixture.addVm("vm-1");
        fixture.fleet.sendHeartbeats(HEARTBEAT);
        return fixture.startNodeAndWait("a");
    }

    private long nowMillis() {
        return fixture.scheduler.now().toEpochMilli();
    }

    private void startClockAnew() {
        fixture.store.setClock(now -> now - changedAt + 1);
    }

    /** All later answers bear times an hour ahead. */
    private void setClockAhead() {
        fixture.store.setClock(now -> now + Duration.ofHours(1).toMillis());
    }

    private void slowClockDown() {
        fixture.store.setClock(now -> now - (now - changedAt) / DRIFT_DIVISOR);
    }

    private void speedClockUp() {
        fixture.store.setClock(now -> now + (now - changedAt) / DRIFT_DIVISOR);
    }

    private void assertStarts(TaskNode node, String job) {
        assertThat(fixture.ask(node, Action.SUBMIT, job)).isEqualTo(new JobAnswer.Accepted());
        fixture.advanceMillis(TIME_TO_START_MILLIS);
        assertThat(fixture.fleet.starts()).anyMatch(s -> s.startsWith(job));
    }

    private void changeHolder() {
        first.drain();
        fixture.advanceMillis(TIME_TO_START_MILLIS);
    }

    private void assertWorkGoesOnOverAChangeOfTheHolder() {
        assertStarts(second, JOB);
        changeHolder();
        assertStarts(second, LATER_JOB);
    }

    /** The estimate of the clock never went back, so that all copies seemed old for good. */
    @Test
    void startsGoOnAfterTheStoreClockStartsAnew() {
        startClockAnew();
        assertWorkGoesOnOverAChangeOfTheHolder();
    }

    /** The estimate ran ahead of a clock that is slow by more than the drift allowed for. */
    @Test
    void startsGoOnWhileTheStoreClockIsSlow() {
        slowClockDown();
        fixture.advanceMillis(LONG_DRIFT_MILLIS);
        assertWorkGoesOnOverAChangeOfTheHolder();
    }

    @Test
    void startsGoOnWhileTheStoreClockIsFast() {
        speedClockUp();
        fixture.advanceMillis(LONG_DRIFT_MILLIS);
        assertWorkGoesOnOverAChangeOfTheHolder();
    }

    @Test
    void startsGoOnAfterTheStoreClockJumpsAhead() {
        setClockAhead();
        assertWorkGoesOnOverAChangeOfTheHolder();
    }

    /** The count seemed old or not known for good. */
    @Test
    void countsAreToldAgainAfterTheStoreClockStartsAnew() {
        startClockAnew();
        fixture.advanceMillis(TIME_TO_START_MILLIS);
        for (TaskNode node : List.of(first, second)) {
            assertThat(fixture.ask(node, Action.READ, "")).isEqualTo(new JobAnswer.Pending(0));
        }
    }

    /** By a clock that was set back, the last count of a former holder seems new. */
    @Test
    void countStoredBeforeTheStoreClockWasSetBackIsNotReturned() {
        first.drain();
        second.drain();
        fixture.advanceMillis(LONGER_THAN_A_COUNT_IS_USED_MILLIS);
        fixture.store.setClock(now -> now - LONGER_THAN_A_COUNT_IS_USED_MILLIS);
        assertThat(fixture.ask(second, Action.READ, "")).isInstanceOf(JobAnswer.Unavailable.class);
    }

    @Test
    void countsAreToldWhileTheStoreClockIsSlow() {
        slowClockDown();
        fixture.advanceMillis(LONG_DRIFT_MILLIS);
        for (TaskNode node : List.of(first, second)) {
            assertThat(fixture.ask(node, Action.READ, "")).isEqualTo(new JobAnswer.Pending(0));
        }
    }
}
