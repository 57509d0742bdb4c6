package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.standin.tasks.MemoryWorker;
import org.junit.jupiter.api.Test;

/** Tests what lists of VMs that arrive late, or lack a VM, say of workers. */
class LateListTest {

    private static final String VM = "a";
    private static final String WORKER = "w-" + VM;
    private static final Duration LIST_TIME = Duration.ofMillis(500);
    private static final Duration AWAY = Duration.ofMillis(2_000);
    private static final int MANY_TASKS = 12;
    private static final int STEP_MILLIS = 10;

    /** From a crash until its tasks run elsewhere: two quick lists, and the pauses before them. */
    private static final long NOTICED_WITHIN_MILLIS = 900;

    private final NodeFixture fixture = new NodeFixture();
    private int submitted;

    LateListTest() {
        List.of(VM, "b", "c").forEach(fixture::addVm);
    }

    /** A list that had been asked for before a worker was back ended the runs of its new life. */
    @Test
    void noTaskOfAWorkerThatIsBackUnderItsIdentifierIsStartedElsewhere() {
        fixture.fleet.setListLatency(LIST_TIME);
        TaskNode node = fixture.startNodeAndWait("h");
        for (int round = 0; round < 10; round++) {
            fixture.fleet.restartUnderSameId(VM, AWAY.plusMillis(37L * round));
            fixture.advanceMillis(AWAY.plusMillis(37L * round).toMillis());
            for (int t = 0; t < 2_000; t += STEP_MILLIS) {
                if (t % 100 == 0) {
                    submit(node);
                }
                fixture.advanceMillis(STEP_MILLIS);
                assertNoTaskRunsTwice();
            }
        }
        assertThat(fixture.fleet.starts()).anyMatch(s -> s.endsWith("@" + WORKER));
    }

    /** Lists that lacked the VM of a worker that answers ended its runs. */
    @Test
    void noTaskOfAWorkerThatAnswersIsStartedElsewhereSinceListsLackItsVm() {
        TaskNode node = fixture.startNodeAndWait("h");
        for (int t = 0; t < 5_000; t += STEP_MILLIS) {
            if (t % 100 == 0) {
                submit(node);
            }
            fixture.fleet.leaveOut(t % 1_500 < 800 ? Set.of(VM) : Set.of());
            fixture.advanceMillis(STEP_MILLIS);
            assertNoTaskRunsTwice();
        }
    }

    /** A worker that is gone must be noticed as soon as before, whatever identifier it comes by. */
    @Test
    void theTasksOfAWorkerThatIsGoneStartElsewhereAsSoonAsTwoListsShowIt() {
        assertTasksOfALostWorkerStartElsewhereWithin(NOTICED_WITHIN_MILLIS);
    }

    /** Lists that were asked for before a lifetime was known must not put off its end. */
    @Test
    void theTasksOfAWorkerThatIsGoneStartElsewhereAsSoonAsTwoSlowListsShowIt() {
        fixture.fleet.setListLatency(LIST_TIME);
        assertTasksOfALostWorkerStartElsewhereWithin(
                NOTICED_WITHIN_MILLIS + 3 * LIST_TIME.toMillis());
    }

    private void assertTasksOfALostWorkerStartElsewhereWithin(long millis) {
        TaskNode node = fixture.startNodeAndWait("h");
        fixture.advanceMillis(2 * LIST_TIME.toMillis());
        IntStream.range(0, MANY_TASKS).forEach(i -> submit(node));
        fixture.advanceMillis(100);
        long lost = worker().runningCount();
        assertThat(lost).isPositive();
        int before = fixture.fleet.starts().size();

        fixture.fleet.restartUnderSameId(VM, Duration.ofSeconds(30));
        fixture.advanceMillis(millis);
        assertThat(fixture.fleet.starts().subList(before, fixture.fleet.starts().size()))
                .filteredOn(s -> !s.contains("#1@"))
                .hasSize((int) lost);
    }

    private void submit(TaskNode node) {
        fixture.ask(node, Action.SUBMIT, String.format("%016x", submitted));
        submitted++;
    }

    private MemoryWorker worker() {
        return fixture.fleet.worker(WORKER);
    }

    private void assertNoTaskRunsTwice() {
        List<String> running =
                List.of(WORKER, "w-b", "w-c").stream()
                        .flatMap(w -> fixture.fleet.worker(w).runningTasks().stream())
                        .map(Object::toString)
                        .toList();
        assertThat(running).doesNotHaveDuplicates();
    }
}
