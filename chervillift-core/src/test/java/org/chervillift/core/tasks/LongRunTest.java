package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.junit.jupiter.api.Test;

/**
 * Tests runs that are so long that their progress, in whole percent, stays the same for more than a
 * second: they were stopped again and again, and never finished.
 */
class LongRunTest {

    private static final long RUN_MILLIS = 300_000;
    private static final long REPORT_MILLIS = 500;
    private static final int ALL = 100;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private int starts;
    private long startedAt;

    /** Runs a task of which a caller estimates some time; returns whether it ends in time. */
    private boolean ends(long estimatedMillis, long withinMillis) {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.estimatedStep(1_000, estimatedMillis));
        long until = fixture.now + withinMillis;
        while (fixture.now < until) {
            if (!fixture.starts().isEmpty()) {
                starts++;
                startedAt = fixture.now;
            }
            fixture.now += REPORT_MILLIS;
            if (isRunning() && fixture.now - startedAt >= RUN_MILLIS) {
                fixture.endAll("w1", RunEnd.DONE);
                return true;
            }
            showProgress();
            fixture.report("w1");
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
        return false;
    }

    private boolean isRunning() {
        return !fixture.runningByWorker.getOrDefault("w1", List.of()).isEmpty();
    }

    private void showProgress() {
        int percent = (int) ((fixture.now - startedAt) * ALL / RUN_MILLIS);
        fixture.runningByWorker
                .getOrDefault("w1", List.of())
                .replaceAll(r -> new RunningTask(r.task(), r.run(), "", percent, 0));
    }

    @Test
    void aLongRunWithARightEstimateIsNotStopped() {
        assertThat(ends(RUN_MILLIS, RUN_MILLIS + 1_000)).isTrue();
        assertThat(starts).isEqualTo(1);
    }

    @Test
    void aLongRunWhoseEstimateIsFarTooLowFinishesAfterFewStarts() {
        assertThat(ends(1_000, 2 * RUN_MILLIS)).isTrue();
        assertThat(starts).isLessThanOrEqualTo(4);
    }
}
