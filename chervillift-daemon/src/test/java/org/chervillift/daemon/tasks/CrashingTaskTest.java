package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.standin.tasks.MemoryWorker;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests that a task that crashes its workers is given up, whatever happens to its holder. */
class CrashingTaskTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int WORKERS = 8;

    /** Three crashes, and fewer than three starts after the third. */
    private static final int MAX_STARTS = 5;

    private static final Duration CRASH_DELAY = Duration.ofMillis(10);
    private static final int ROUNDS = 2_000;
    private static final int OTHER_JOBS = 40;

    private final NodeFixture fixture = new NodeFixture();
    private final List<String> workers =
            IntStream.range(0, WORKERS).mapToObj(i -> "w-" + i).toList();

    private int crashes;

    CrashingTaskTest() {
        IntStream.range(0, WORKERS).forEach(i -> fixture.addVm(Integer.toString(i)));
    }

    @Test
    void allProcessesTellWhyAJobWasGivenUp() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o");
        fixture.ask(other, Action.SUBMIT, JOB);
        crashWorkersThatRunTasks(() -> {});

        TaskNode fresh = fixture.startNodeAndWait("f");
        JobAnswer failed =
                new JobAnswer.State(
                        new JobStatus(
                                JobState.FAILED,
                                Optional.of(
                                        new JobFailure(
                                                JobFailure.Cause.WORKER_CRASHED,
                                                JOB + ".0.0.0",
                                                3))));
        assertThat(fixture.ask(holder, Action.READ, JOB)).isEqualTo(failed);
        assertThat(fixture.ask(other, Action.READ, JOB)).isEqualTo(failed);
        assertThat(fixture.ask(fresh, Action.READ, JOB)).isEqualTo(failed);
        holder.drain();
        fixture.advanceMillis(2_000);
        assertThat(fixture.ask(other, Action.READ, JOB)).isEqualTo(failed);
    }

    @Test
    void aTaskIsNotStartedWithoutLimitWhenTheHolderChangesBetweenCrashes() {
        fixture.startNodeAndWait("h0");
        TaskNode reader = fixture.startNodeAndWait("r");
        fixture.ask(reader, Action.SUBMIT, JOB);
        crashWorkersThatRunTasks(this::replaceHolder);

        assertThat(fixture.fleet.starts()).hasSizeLessThanOrEqualTo(MAX_STARTS);
        assertThat(stateAtLastNode()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aTaskIsNotStartedWithoutLimitWhenTheStoreIsDownAfterEachCrash() {
        fixture.startNodeAndWait("h");
        TaskNode reader = fixture.startNodeAndWait("r");
        fixture.ask(reader, Action.SUBMIT, JOB);
        crashWorkersThatRunTasks(
                () -> {
                    fixture.store.setFault(StoreFault.DOWN);
                    fixture.advanceMillis(4_000);
                    fixture.store.setFault(StoreFault.NONE);
                });

        assertThat(fixture.fleet.starts()).hasSizeLessThanOrEqualTo(MAX_STARTS);
        assertThat(stateAtLastNode()).isEqualTo(JobState.FAILED);
    }

    /** Without an answer no crash counted, and the task crashed worker after worker. */
    @Test
    void aTaskThatCrashesItsWorkersBeforeTheyAnswerIsNotStartedWithoutLimit() {
        TaskNode holder = fixture.startNodeAndWait("h");
        fixture.fleet.crashUnder(t -> t.job().equals(JOB));
        fixture.ask(holder, Action.SUBMIT, JOB);
        for (int i = 0; i < OTHER_JOBS; i++) {
            fixture.ask(holder, Action.SUBMIT, otherJob(i));
        }
        fixture.advanceMillis(30_000);
        assertThat(startsOf(JOB)).isLessThanOrEqualTo(MAX_STARTS);
        assertThat(stateAtLastNode()).isEqualTo(JobState.FAILED);
        for (int i = 0; i < OTHER_JOBS; i++) {
            assertThat(stateOf(holder, otherJob(i))).isEqualTo(JobState.COMPLETED);
        }
    }

    @Test
    void suchATaskIsNotStartedWithoutLimitWhenTheHolderChangesAfterEachStart() {
        fixture.startNodeAndWait("h0");
        TaskNode reader = fixture.startNodeAndWait("r");
        fixture.fleet.crashUnder(t -> t.job().equals(JOB));
        fixture.ask(reader, Action.SUBMIT, JOB);
        int known = 0;
        for (long t = 0; t < 60_000; t += CRASH_DELAY.toMillis()) {
            fixture.advanceMillis(CRASH_DELAY.toMillis());
            if (startsOf(JOB) > known) {
                known = startsOf(JOB);
                replaceHolder();
            }
        }
        assertThat(startsOf(JOB)).isLessThanOrEqualTo(MAX_STARTS);
        assertThat(stateAtLastNode()).isEqualTo(JobState.FAILED);
    }

    /** Orders that fall into crashes of other causes must not make a job fail, nor late. */
    @Test
    void noJobIsGivenUpForOrdersThatMeetWorkersWhichCrashByThemselves() {
        TaskNode holder = fixture.startNodeAndWait("h");
        for (int i = 0; i < OTHER_JOBS; i++) {
            String vm = Integer.toString(i % WORKERS);
            fixture.scheduler.schedule(CRASH_DELAY, () -> fixture.fleet.crash(vm));
            fixture.ask(holder, Action.SUBMIT, otherJob(i));
            fixture.advanceMillis(300);
        }
        fixture.advanceMillis(10_000);
        for (int i = 0; i < OTHER_JOBS; i++) {
            assertThat(stateOf(holder, otherJob(i))).isEqualTo(JobState.COMPLETED);
        }
    }

    private static String otherJob(int number) {
        return String.format("%016x", number);
    }

    private int startsOf(String job) {
        return (int) fixture.fleet.starts().stream().filter(s -> s.startsWith(job)).count();
    }

    private JobState stateOf(TaskNode node, String job) {
        return ((JobAnswer.State) fixture.ask(node, Action.READ, job)).status().state();
    }

    /** Crashes each worker soon after it starts a task, and does something after each crash. */
    private void crashWorkersThatRunTasks(Runnable afterCrash) {
        crashBusyWorkers();
        for (int i = 0; i < ROUNDS; i++) {
            int before = crashes;
            fixture.advanceMillis(CRASH_DELAY.toMillis());
            if (crashes > before) {
                afterCrash.run();
            }
        }
    }

    private void crashBusyWorkers() {
        for (String id : workers) {
            MemoryWorker worker = fixture.fleet.worker(id);
            if (worker.runningCount() > 0) {
                worker.crash();
                crashes++;
            }
        }
        fixture.scheduler.schedule(CRASH_DELAY, this::crashBusyWorkers);
    }

    /** Stops the oldest node that still runs, and starts another one. */
    private void replaceHolder() {
        fixture.startedNodes.removeFirst().drain();
        fixture.startNodeAndWait("h" + fixture.scheduler.now().toEpochMilli());
        fixture.advanceMillis(1_000);
    }

    private JobState stateAtLastNode() {
        JobAnswer answer = fixture.ask(fixture.startedNodes.getLast(), Action.READ, JOB);
        return ((JobAnswer.State) answer).status().state();
    }
}
