package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests what becomes of tasks whose workers crash. */
class WorkerCrashTest {

    private static final int WORKERS = 12;

    /** Three crashes, and fewer than three starts after the third. */
    private static final int MAX_STARTS = 5;

    private static final long WORKER_MILLI_CORES = 4_000;
    private static final long CRASH_NOTICED_MILLIS = 400;

    /** Longer than a report shows that its worker is alive. */
    private static final long SILENCE_MILLIS = 1_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void aTaskThatCrashesEachWorkerThatStartsItIsNotStartedWithoutLimit() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        int starts = 0;
        for (int round = 0; round < WORKERS; round++) {
            for (Order.Start start : fixture.starts()) {
                starts++;
                crash(fixture, start.worker());
            }
            fixture.now += CRASH_NOTICED_MILLIS;
        }

        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aNewHolderKnowsTheCrashesThatItsPredecessorsSaw() {
        int starts = 0;
        JobProgress stored = null;
        for (int term = 1; term <= WORKERS && !isFinal(stored); term++) {
            SchedulerFixture holder = new SchedulerFixture(term, Resources.NONE);
            addWorkers(holder);
            holder.now += SchedulerFixture.LEASE_MILLIS + 1;
            holder.accept("a", SchedulerFixture.step(1, 1_000));
            if (stored != null) {
                holder.scheduler.restore("a", stored);
            }
            grantLeases(holder);
            List<Order.Start> orders = holder.starts();
            starts += orders.size();
            orders.forEach(o -> crash(holder, o.worker()));
            stored = holder.scheduler.unstoredProgress().progress().get("a");
        }

        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        assertThat(stored.state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aTaskIsNotStartedAgainUntilTheCrashOfItsWorkerIsStored() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order.Start first = fixture.starts().getFirst();
        crash(fixture, first.worker());

        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
        assertThat(fixture.scheduler.startGate().hasHeldStarts()).isTrue();
        fixture.store();
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).hasSize(1);
    }

    @Test
    void crashesAreRememberedWhileTheStoreIsDownAndStoredWhenItIsBack() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order.Start first = fixture.starts().getFirst();
        crash(fixture, first.worker());
        fixture.now += 2_000;
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();

        fixture.store();
        Order.Start second = fixture.starts().getFirst();
        crash(fixture, second.worker());

        JobProgress stored = fixture.scheduler.unstoredProgress().progress().get("a");
        assertThat(stored.steps().getFirst().failures().getFirst().crashes().confirmed())
                .containsExactly(1, 2);
    }

    @Test
    void aCrashThatTheHolderDidNotLiveToSeeIsCountedByItsSuccessor() {
        int starts = 0;
        JobProgress stored = null;
        List<String> started = List.of();
        for (int term = 1; term <= WORKERS && !isFinal(stored); term++) {
            SchedulerFixture holder = new SchedulerFixture(term, Resources.NONE);
            for (String worker : started) {
                holder.scheduler.addPredecessorWorker(worker, SchedulerFixture.POOL);
            }
            holder.accept("a", SchedulerFixture.step(1, 1_000));
            if (stored != null) {
                holder.scheduler.restore("a", stored);
            }
            String worker = "w" + term;
            holder.addWorker(worker, WORKER_MILLI_CORES);
            for (String lost : started) {
                holder.scheduler.workerLifetimeEnded(lost, holder.now, holder.now);
            }
            starts += holder.starts().size();
            if (term == 1) {
                crash(holder, worker);
                holder.addWorker("spare", WORKER_MILLI_CORES);
                starts += holder.starts().size();
                worker = "spare";
            }
            holder.store();
            stored = progressOf(holder);
            started = List.of(worker);
        }

        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        assertThat(stored.state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void aRunThatAPredecessorStartedIsNoCrashWhileItsWorkerLives() {
        JobProgress.StartedRun started = new JobProgress.StartedRun(2, "w1", 1);
        JobProgress.TaskFailures failures =
                new JobProgress.TaskFailures(
                        0,
                        List.of(),
                        new JobProgress.TaskCrashes(
                                List.of(1), List.of(), List.of(), List.of(started)));
        JobProgress stored =
                new JobProgress(
                        1,
                        JobState.RUNNING,
                        List.of(
                                new JobProgress.StepProgress(
                                        0, 0, List.of(), List.of(failures), List.of(), List.of())));
        SchedulerFixture holder = new SchedulerFixture(2, Resources.NONE);
        holder.accept("a", SchedulerFixture.step(1, 1_000));
        holder.scheduler.restore("a", stored);
        holder.addWorker("w1", WORKER_MILLI_CORES);
        holder.scheduler.workerUnlisted("w1");
        holder.scheduler.workerLifetimeEnded("w1", holder.now, holder.now);

        assertThat(holder.events).noneMatch(e -> e.kind() == SchedulerEvent.Kind.LOST);
    }

    @Test
    void aWorkerThatDrainsOrIsDrainedForAnOrderHasNotCrashed() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.starts();
        fixture.scheduler.setCordoned("w1", true);
        crash(fixture, "w1");
        fixture.addWorker("w2", 1_000);
        fixture.starts();
        fixture.scheduler.workerListed(SchedulerFixture.drainingEntry("w2", 1_000), fixture.now);
        crash(fixture, "w2");

        assertThat(lostRuns()).hasSize(2).allMatch(e -> e.detail().contains("cause=PLANNED"));
        assertThat(lostRuns()).allMatch(e -> e.detail().contains("crashes=0"));
    }

    @Test
    void aStartToAWorkerThatMayHaveBeenGoneIsNoCrashUnderTheTask() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.now += SILENCE_MILLIS;
        Order start = fixture.orders().getFirst();
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        crash(fixture, "w1");

        assertThat(lostRuns())
                .singleElement()
                .matches(e -> e.detail().contains("begun=false"))
                .matches(e -> e.detail().contains("crashes=0"));
    }

    @Test
    void aTaskThatCrashesWorkersBeforeTheyConfirmItIsNotStartedWithoutLimit() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        int starts = 0;
        for (int i = 0; i < WORKERS; i++) {
            boolean confirmed = i < 2;
            List<Order> orders = fixture.orders();
            for (Order start : orders) {
                starts++;
                fixture.scheduler.applyAnswer(
                        start, confirmed ? OrderAnswer.DONE : OrderAnswer.UNKNOWN, fixture.now);
                crash(fixture, start.worker());
            }
        }

        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
    }

    @Test
    void aTaskIsNotGivenUpForOrdersToWorkersThatWereGone() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        crash(fixture, fixture.starts().getFirst().worker());
        int gone = 0;
        for (int i = 0; i < 6; i++) {
            fixture.now += SILENCE_MILLIS;
            grantLeases(fixture);
            for (String worker : workersThatGetAStartOrAreAsked()) {
                crash(fixture, worker);
                gone++;
            }
        }

        assertThat(gone).isGreaterThanOrEqualTo(6);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.RUNNING);
    }

    /** Plans, and leaves each order and each question unanswered. */
    private Set<String> workersThatGetAStartOrAreAsked() {
        List<Order> orders = new ArrayList<>(fixture.scheduler.plan(fixture.now, fixture.now));
        fixture.store();
        orders.addAll(fixture.scheduler.plan(fixture.now, fixture.now));
        orders.forEach(o -> fixture.scheduler.applyAnswer(o, OrderAnswer.UNKNOWN, fixture.now));
        Set<String> workers = new HashSet<>(fixture.scheduler.startGate().workersToAsk());
        orders.forEach(o -> workers.add(o.worker()));
        return workers;
    }

    @Test
    void aLongRunningTaskThatHasRunForLongIsNoLongerSuspected() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 0));
        for (int i = 0; i < WORKERS; i++) {
            Order.Start start = fixture.starts().getFirst();
            fixture.now += 10_000;
            fixture.report(start.worker());
            grantLeases(fixture);
            crash(fixture, start.worker());
        }

        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.RUNNING);
    }

    /** Where each worker had another service, a task was never alone, and started without limit. */
    @Test
    void aLongRunningTaskThatCrashesItsWorkersBesideOtherServicesIsNotStartedWithoutLimit() {
        addWorkers(fixture);
        fixture.accept("s", service(WORKERS, 1));
        fixture.starts();
        passProbation();
        fixture.accept("a", service(1, 0));

        int starts = 0;
        for (int round = 0; round < WORKERS; round++) {
            for (int i = 0; i < 20; i++) {
                fixture.now += CRASH_NOTICED_MILLIS;
                grantLeases(fixture);
                for (Order.Start start : fixture.starts()) {
                    if (start.task().job().equals("a")) {
                        starts++;
                        crash(fixture, start.worker());
                    }
                }
            }
        }
        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
        assertThat(fixture.scheduler.stateOf("s")).contains(JobState.RUNNING);
    }

    private static StepSpec service(int count, int maxPerWorker) {
        return new StepSpecBuilder()
                .count(count)
                .longRunning(true)
                .maxPerWorker(maxPerWorker)
                .build();
    }

    /** Lets long-running tasks run until they do not come into question for a crash. */
    private void passProbation() {
        for (int i = 0; i < 6; i++) {
            fixture.now += 2_000;
            grantLeases(fixture);
            for (int w = 0; w < WORKERS; w++) {
                fixture.report("w" + w);
            }
        }
    }

    @Test
    void aServiceIsNotGivenUpWhenTheWorkerOfATaskThatRunsAloneCrashesByItself() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 1));
        for (int i = 0; i < 3; i++) {
            crash(fixture, fixture.starts().getFirst().worker());
        }
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.RUNNING);
    }

    @Test
    void aServiceThatCrashesEachWorkerIsNotStartedWithoutLimit() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 1));
        int starts = 0;
        for (int i = 0; i < WORKERS; i++) {
            for (Order.Start start : fixture.starts()) {
                starts++;
                crash(fixture, start.worker());
            }
        }
        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
    }

    @Test
    void aServiceIsNotGivenUpForCrashesOfWorkersThatItSharedHoweverMany() {
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 1));
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        for (int i = 0; i < WORKERS; i++) {
            fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
            String worker = "w" + i;
            fixture.runningByWorker.put(worker, List.of(running("a", i), running("b", i)));
            fixture.addWorker(worker, WORKER_MILLI_CORES);
            crash(fixture, worker);
        }
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.RUNNING);
        assertThat(fixture.scheduler.stateOf("b")).contains(JobState.FAILED);
    }

    private static RunningTask running(String job, int run) {
        return new RunningTask(new TaskId(job, 0, 0, 0), run + 1, "", 100, 0);
    }

    private List<SchedulerEvent> lostRuns() {
        return fixture.events.stream().filter(e -> e.kind() == SchedulerEvent.Kind.LOST).toList();
    }

    /** Returns the progress of the job as stored, although nothing has changed since. */
    private static JobProgress progressOf(SchedulerFixture holder) {
        return holder.lastStored.get("a");
    }

    private static boolean isFinal(JobProgress progress) {
        return progress != null && progress.state().isFinal();
    }

    private static void grantLeases(SchedulerFixture fixture) {
        for (int i = 0; i < WORKERS; i++) {
            fixture.scheduler.leaseGranted("w" + i, fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
    }

    private static void addWorkers(SchedulerFixture fixture) {
        for (int i = 0; i < WORKERS; i++) {
            fixture.addWorker("w" + i, WORKER_MILLI_CORES);
        }
    }

    /** Ends a worker's lifetime without notice; it does not come back under its identifier. */
    private static void crash(SchedulerFixture fixture, String worker) {
        fixture.runningByWorker.put(worker, List.of());
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
    }
}
