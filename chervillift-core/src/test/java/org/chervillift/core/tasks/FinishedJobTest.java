package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.junit.jupiter.api.Test;

/** Tests what is kept of a job that has ended. */
class FinishedJobTest {

    @Test
    void aJobThatHasEndedKeepsNeitherItsPayloadNorItsTasks() {
        AcceptedJob job = SchedulerFixture.job("a", SchedulerFixture.step(3, 1_000));
        JobEntry entry = new JobEntry(job, SchedulerFixture.QUEUE_POLICY, 0);
        assertThat(entry.occurrence(0)).hasSize(1);

        entry.state(JobState.CANCELLED);
        entry.dropUnneeded();
        assertThat(entry.job().spec().payload()).isEmpty();
        assertThat(entry.steps()).isEmpty();
    }

    @Test
    void aJobIsForgottenOnlyOnceItsEndIsStoredAndNoneOfItsRunsIsOpen() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.starts();
        assertThat(fixture.scheduler.mayForget("a")).isFalse();

        fixture.scheduler.cancel("a", fixture.now);
        fixture.store();
        assertThat(fixture.scheduler.mayForget("a")).isFalse();
        fixture.endAll("w1", RunEnd.STOPPED);
        assertThat(fixture.scheduler.mayForget("a")).isTrue();
    }

    @Test
    void endsOfForgottenJobsHoldBackOthersOnlyOnce() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w1", 3_000);
        fixture.accept("gone", SchedulerFixture.step(2, 1_000));
        fixture.starts();
        fixture.scheduler.cancel("gone", fixture.now);
        fixture.endAll("w1", RunEnd.LEASE_EXPIRED);
        fixture.store();
        fixture.scheduler.forget("gone");

        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.endedByWorker.putAll(fixture.endedByWorker);
        successor.addWorker("w1", 3_000);
        assertThat(successor.scheduler.unstoredProgress().isEmpty()).isTrue();
        successor.now += 5_001;
        successor.report("w1");
        successor.store();
        assertThat(successor.scheduler.acknowledgedEnd("w1")).isEqualTo(2);
    }
}
