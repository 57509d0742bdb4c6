package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that a task that crashes its workers takes few other tasks with it. */
class IsolationPlannerTest {

    private static final int WORKERS = 6;
    private static final int TASKS_PER_WORKER = 8;
    private static final long TASK_MILLI_CORES = 1_000;
    private static final long STEP_MILLIS = 100;
    private static final long RUN_MILLIS = 600;
    private static final long WORKER_AWAY_MILLIS = 3_000;
    private static final String CRASHING = "crashing";

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Map<String, Long> backAt = new HashMap<>();
    private final Map<TaskId, Long> startedAt = new HashMap<>();
    private final List<Set<String>> lostTogether = new ArrayList<>();
    private int nextWorker;

    @Test
    void tasksBesideOneThatCrashesItsWorkersAreNotUnderItsNextCrashes() {
        for (int i = 0; i < WORKERS; i++) {
            addWorker();
        }
        for (int i = 0; i < 2 * WORKERS * TASKS_PER_WORKER; i++) {
            fixture.accept(i == 3 ? CRASHING : "j" + i, SchedulerFixture.step(1, TASK_MILLI_CORES));
        }

        for (int i = 0; i < 200; i++) {
            simulateStep();
        }

        fixture.store();
        assertThat(lostTogether).hasSize(CrashHistory.MAX_CRASHES);
        assertThat(lostTogether.getLast()).containsExactly(CRASHING);
        assertThat(fixture.scheduler.stateOf(CRASHING)).contains(JobState.FAILED);
        for (int i = 0; i < 2 * WORKERS * TASKS_PER_WORKER; i++) {
            if (i != 3) {
                assertThat(fixture.scheduler.stateOf("j" + i)).contains(JobState.COMPLETED);
            }
        }
    }

    @Test
    void aServiceIsNotGivenUpForCrashesThatItsTasksShareWithOthers() {
        fixture.accept(
                "service", SchedulerFixture.step(1, TASK_MILLI_CORES, List.of(), false, true, 1));
        fixture.accept("a", SchedulerFixture.step(3, TASK_MILLI_CORES));
        for (int i = 1; i <= 2; i++) {
            fixture.addWorker("w" + i, 4_000);
            assertThat(fixture.starts()).hasSize(4);
            crash("w" + i);
        }
        fixture.addWorker("w3", 4_000);
        fixture.addWorker("w4", 4_000);
        fixture.addWorker("w5", 4_000);
        for (int i = 0; i < 30; i++) {
            fixture.starts();
            advance("w3", "w4", "w5");
        }
        crash(fixture.runningWorkerOf(new TaskId("a", 0, 0, 0)));

        fixture.store();
        assertThat(fixture.scheduler.stateOf("service")).contains(JobState.RUNNING);
    }

    @Test
    void noTaskJoinsOneThatRunsAlone() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.addWorker("w3", 4_000);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w3");

        fixture.accept("b", SchedulerFixture.step(1, TASK_MILLI_CORES));
        assertThat(fixture.starts()).isEmpty();
        fixture.endAll("w3", RunEnd.DONE);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w3");
    }

    @Test
    void noTaskOfTheSameRoundJoinsOneThatRunsAlone() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.accept("b", SchedulerFixture.step(1, TASK_MILLI_CORES));
        fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
        fixture.addWorker("w3", 4_000);

        assertThat(fixture.starts()).hasSize(1);
    }

    @Test
    void aWorkerIsKeptFreeUntilItsOtherTasksHaveEnded() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.accept("b", SchedulerFixture.step(4, TASK_MILLI_CORES));
        fixture.addWorker("w3", 2_000);
        fixture.addWorker("w4", 2_000);
        assertThat(fixture.starts())
                .extracting(o -> o.task().job())
                .containsOnly("a", "b")
                .hasSize(3);
        assertThat(fixture.runningByWorker.values())
                .filteredOn(l -> l.stream().anyMatch(r -> r.task().job().equals("a")))
                .allMatch(l -> l.size() == 1);
    }

    @Test
    void aPoolGoesOnServingWhileManyServicesMustStartAlone() {
        int services = 4;
        for (int i = 0; i < services; i++) {
            fixture.accept(
                    "service" + i,
                    SchedulerFixture.step(1, TASK_MILLI_CORES, List.of(), false, true, 0));
        }
        for (int crash = 1; crash <= 2; crash++) {
            fixture.addWorker("old" + crash, services * TASK_MILLI_CORES);
            assertThat(fixture.starts()).hasSize(services);
            crash("old" + crash);
        }
        for (int i = 0; i < services; i++) {
            fixture.addWorker("w" + i, services * TASK_MILLI_CORES);
        }
        fixture.accept("backlog", SchedulerFixture.step(10, TASK_MILLI_CORES));

        int started = 0;
        for (int i = 0; i < 30; i++) {
            started += startsOf("backlog");
            advance("w0", "w1", "w2", "w3");
        }
        assertThat(started).isGreaterThanOrEqualTo(services * services / 2);
        for (int i = 0; i < 25; i++) {
            fixture.starts();
            advance("w0", "w1", "w2", "w3");
        }
        assertThat(fixture.runningByWorker.values())
                .allMatch(l -> l.size() <= services)
                .anyMatch(l -> l.stream().anyMatch(r -> r.task().job().equals("service3")));
    }

    private void advance(String... workers) {
        fixture.now += STEP_MILLIS;
        for (String worker : workers) {
            fixture.scheduler.leaseGranted(worker, fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
    }

    private int startsOf(String job) {
        return Math.toIntExact(
                fixture.starts().stream().filter(s -> s.task().job().equals(job)).count());
    }

    @Test
    void aTaskThatGetsNoWorkerOfItsOwnStartsBesideOthersInTime() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.accept(
                "service", SchedulerFixture.step(1, TASK_MILLI_CORES, List.of(), false, true, 0));
        TaskId service = new TaskId("service", 0, 0, 0);
        fixture.runningByWorker.put(
                "w3", new ArrayList<>(List.of(new RunningTask(service, 1, "", 100, 0))));
        fixture.addWorker("w3", 2_000);
        assertThat(fixture.starts()).isEmpty();

        List<Order.Start> starts = new ArrayList<>();
        for (int i = 0; i < 26; i++) {
            fixture.now += STEP_MILLIS;
            fixture.scheduler.leaseGranted("w3", fixture.now + SchedulerFixture.LEASE_MILLIS);
            starts.addAll(fixture.starts());
        }

        assertThat(starts).extracting(o -> o.task().job()).containsExactly("a");
    }

    @Test
    void aTaskWaitsForTheWorkerThatIsKeptFreeForItWhileItsLastRunEnds() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.accept("b", SchedulerFixture.step(2, TASK_MILLI_CORES));
        for (int i = 0; i < 2; i++) {
            fixture.runningByWorker.put(
                    "w" + (3 + i),
                    new ArrayList<>(
                            List.of(new RunningTask(new TaskId("b", 0, 0, i), 1, "", 50, 0))));
            fixture.addWorker("w" + (3 + i), 4_000);
        }
        for (int i = 0; i < 35; i++) {
            assertThat(fixture.starts()).isEmpty();
            advance("w3", "w4");
            fixture.runningByWorker.replaceAll(IsolationPlannerTest::withProgress);
            fixture.report("w3");
            fixture.report("w4");
        }
        fixture.endAll("w3", RunEnd.DONE);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w3");
    }

    private static List<RunningTask> withProgress(String worker, List<RunningTask> running) {
        return new ArrayList<>(
                running.stream()
                        .map(r -> new RunningTask(r.task(), r.run(), "", r.percent() + 1, 0))
                        .toList());
    }

    @Test
    void aTaskThatMustRunAloneWaitsForAWorkerOfItsOwnAfterAnOutageOfTheStore() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.accept("b", SchedulerFixture.step(1, TASK_MILLI_CORES));
        fixture.runningByWorker.put(
                "w3",
                new ArrayList<>(List.of(new RunningTask(new TaskId("b", 0, 0, 0), 1, "", 50, 0))));
        fixture.addWorker("w3", 4_000);
        assertThat(fixture.starts()).isEmpty();

        fixture.now += 4_000;
        fixture.scheduler.leaseGranted("w3", fixture.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(fixture.starts()).isEmpty();
        fixture.endAll("w3", RunEnd.DONE);
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w3");
    }

    @Test
    void aTaskThatMustRunAloneCountsAsAWholeWorkerInTheLoadOfItsPool() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, TASK_MILLI_CORES));
        crashTwice("a");
        fixture.addWorker("w3", 4_000);
        fixture.scheduler.setCordoned("w3", true);
        fixture.starts();

        assertThat(
                        fixture.scheduler
                                .poolLoads(fixture.now)
                                .get(SchedulerFixture.POOL)
                                .waitingMilliCores())
                .isEqualTo(4_000);
    }

    /** Crashes two workers, w1 and w2, under the only task of a job. */
    private void crashTwice(String job) {
        crash(fixture.starts().getFirst().worker());
        fixture.addWorker("w2", 4_000);
        Order.Start second = fixture.starts().getFirst();
        assertThat(second.task().job()).isEqualTo(job);
        crash(second.worker());
    }

    private void addWorker() {
        String id = "w" + nextWorker++;
        fixture.addWorker(id, TASKS_PER_WORKER * TASK_MILLI_CORES);
    }

    /** Lets workers return, tasks end, tasks start, and crashes the worker of the faulty task. */
    private void simulateStep() {
        fixture.now += STEP_MILLIS;
        backAt.entrySet().removeIf(e -> returnWorker(e.getValue()));
        for (String worker : List.copyOf(fixture.runningByWorker.keySet())) {
            fixture.scheduler.leaseGranted(worker, fixture.now + SchedulerFixture.LEASE_MILLIS);
            endDueRuns(worker);
        }
        for (int i = 0; i < nextWorker; i++) {
            fixture.scheduler.leaseGranted("w" + i, fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
        List<Order.Start> starts = fixture.starts();
        starts.forEach(s -> startedAt.put(s.task(), fixture.now));
        starts.stream()
                .filter(s -> s.task().job().equals(CRASHING))
                .forEach(s -> crash(s.worker()));
    }

    private boolean returnWorker(long due) {
        if (fixture.now < due) {
            return false;
        }
        addWorker();
        return true;
    }

    private void endDueRuns(String worker) {
        List<RunningTask> due =
                fixture.runningByWorker.get(worker).stream()
                        .filter(r -> fixture.now - startedAt.get(r.task()) >= RUN_MILLIS)
                        .toList();
        due.forEach(r -> fixture.end(worker, r.task(), RunEnd.DONE));
        if (!due.isEmpty()) {
            fixture.report(worker);
        }
    }

    private void crash(String worker) {
        Set<String> lost = new HashSet<>();
        fixture.runningByWorker.remove(worker).forEach(r -> lost.add(r.task().job()));
        lostTogether.add(lost);
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
        backAt.put(worker, fixture.now + WORKER_AWAY_MILLIS);
    }
}
