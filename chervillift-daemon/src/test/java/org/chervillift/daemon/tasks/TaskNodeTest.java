package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.standin.tasks.MemoryWorker;
import org.chervillift.standin.tasks.SeenMove;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class TaskNodeTest extends TaskNodeTestBase {

    private static final long VM_LIST_INTERVAL_MILLIS = 300;
    private static final int LISTS_UNTIL_ENDED = 2;

    /** Lets the periodic timers of the processes run at different times. */
    private static final long TIMER_OFFSET_MILLIS = 37;

    @Test
    void aJobIsAcceptedRunAndReportedByAnyProcess() {
        addWorker("w1", 10_000);
        TaskNode a = startNode("a");
        TaskNode b = startNodeAndWait("b");

        assertThat(ask(b, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        assertThat(ask(a, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        advanceMillis(1_000);

        for (TaskNode node : nodes) {
            assertThat(ask(node, JobRequest.Action.READ, JOB))
                    .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        }
        assertThat(fleet.starts()).hasSize(3).doesNotHaveDuplicates();
    }

    @Test
    void unknownJobsQueuesAndKeysGetDistinctAnswers() {
        TaskNode a = startNodeAndWait("a");
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
        assertThat(ask(a, JobRequest.Action.CANCEL, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
        assertThat(await(a.answer(request(JobRequest.Action.SUBMIT, JOB, "other", 1))))
                .isInstanceOf(JobAnswer.KeyRefused.class);
        assertThat(await(a.answer(request(JobRequest.Action.SUBMIT, JOB, null, 1))))
                .isInstanceOf(JobAnswer.KeyRefused.class);
        assertThat(ask(a, JobRequest.Action.SUBMIT, "short"))
                .isInstanceOf(JobAnswer.Malformed.class);
        JobRequest unknownQueue =
                new JobRequest(
                        JobRequest.Action.READ, "x.example", "/q/", Optional.empty(), i -> null);
        assertThat(await(a.answer(unknownQueue))).isInstanceOf(JobAnswer.NoSuchQueue.class);
    }

    @Test
    void malformedJobIsRefusedAndNotStored() {
        TaskNode a = startNodeAndWait("a");
        JobRequest broken =
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + JOB,
                        Optional.of("key"),
                        i -> {
                            throw new ChervilliftException(ErrorCode.BAD_REQUEST, "no step");
                        });
        JobAnswer answer = await(a.answer(broken));
        assertThat(answer).isInstanceOf(JobAnswer.Malformed.class);
        assertThat(((JobAnswer.Malformed) answer).detail()).contains("no step");
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
    }

    @Test
    void refusedJobDoesNotRunAndALostReplyIsNotReportedAsRefusal() {
        addWorker("w1", 10_000);
        TaskNode a = startNodeAndWait("a");

        store.setFault(StoreFault.DOWN);
        assertThat(ask(a, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        advanceMillis(3_000);
        assertThat(fleet.starts()).isEmpty();

        store.setFault(StoreFault.LOSE_REPLIES);
        JobAnswer lost = ask(a, JobRequest.Action.SUBMIT, JOB);
        assertThat(lost).isNotInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aCancelledJobStopsAndStaysCancelled() {
        MemoryWorker worker = addWorker("w1", 10_000);
        TaskNode a = startNode("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(100);
        assertThat(worker.runningCount()).isEqualTo(3);

        assertThat(ask(b, JobRequest.Action.CANCEL, JOB)).isInstanceOf(JobAnswer.Cancelled.class);
        advanceMillis(300);
        assertThat(worker.runningCount()).isZero();
        advanceMillis(2_000);
        assertThat(ask(a, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.CANCELLED)));
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void newHolderContinuesWithoutStartingTasksTwice() {
        addWorker("w1", 2_000);
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(700);

        a.drain();
        advanceMillis(4_000);

        assertThat(ask(b, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        Set<String> tasks = new HashSet<>();
        fleet.starts().forEach(s -> tasks.add(s.substring(0, s.indexOf('#'))));
        assertThat(tasks).hasSize(3);
        assertThat(fleet.starts()).hasSize(3);
    }

    /** Guards against sequential reads at a change of the holder: the store is slow then. */
    @Test
    void aNewHolderStartsTasksAfterFewCallsToTheStore() {
        addWorker("w1", 10_000);
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        long millis = 225;
        store.setLatency(Duration.ofMillis(millis));
        a.drain();
        ask(b, JobRequest.Action.SUBMIT, JOB);
        long releasedAt = scheduler.now().toEpochMilli();
        while (fleet.starts().isEmpty() && scheduler.now().toEpochMilli() < releasedAt + 10_000) {
            advanceMillis(10);
        }
        int takeover = 1;
        int parallelReads = 1;
        int workersStored = 1;
        int stepStartStored = 1;
        long calls = takeover + parallelReads + workersStored + stepStartStored;
        assertThat(scheduler.now().toEpochMilli() - releasedAt).isLessThan((calls + 1) * millis);
    }

    /** A surge moves VMs all the time, and the registry still lists their former workers. */
    @Test
    void aNewHolderDoesNotWaitForWorkersThatEndedBeforeItsTerm() {
        addWorker("w1", 1_000);
        MemoryWorker ended = addWorker("w2", 1_000);
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(100);
        assertThat(fleet.starts()).as("one task of three waits").hasSize(2);

        ended.crash();
        a.drain();
        advanceMillis(LISTS_UNTIL_ENDED * VM_LIST_INTERVAL_MILLIS + 500);

        assertThat(fleet.starts()).as("the third task").hasSizeGreaterThan(2);
    }

    /** Submits jobs to a new holder, and returns the moves that it orders meanwhile. */
    private List<SeenMove> movesForNewJobs(TaskNode node, long previousTerm) {
        for (int i = 0; i < 5; i++) {
            ask(node, JobRequest.Action.SUBMIT, "00000000000000a" + i);
        }
        advanceMillis(HANDOVER_DELAY_MILLIS + 1_000);
        return fleet.moves().stream().filter(m -> m.term() > previousTerm).toList();
    }

    @Test
    void aNewHolderMovesVmsAtOnceButWaitsForThoseThatItsPredecessorMoved() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(400);
        assertThat(fleet.moves()).isNotEmpty().allMatch(m -> m.vm().equals("s1"));
        long previousTerm = fleet.moves().getLast().term();

        a.drain();
        addStandby("s2");
        long releasedAt = scheduler.now().toEpochMilli();
        List<SeenMove> after = movesForNewJobs(b, previousTerm);
        assertThat(firstMoveAtMillis(after, "s2") - releasedAt).isLessThan(1_000);
        assertThat(firstMoveAtMillis(after, "s1") - releasedAt)
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    /** The age of an order is unknown if the store's clock was set after it was stored. */
    @Test
    void newHolderWaitsForOrderedVmsIfTheStoreClockJumpedAhead() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(400);
        long previousTerm = fleet.moves().getLast().term();
        store.setClock(now -> now + Duration.ofHours(1).toMillis());

        a.drain();
        long releasedAt = scheduler.now().toEpochMilli();
        List<SeenMove> after = movesForNewJobs(b, previousTerm);
        assertThat(firstMoveAtMillis(after, "s1") - releasedAt)
                .isGreaterThanOrEqualTo(HANDOVER_DELAY_MILLIS);
    }

    @Test
    void aNewHolderDoesNotWaitForVmsThatWereMovedLongerAgo() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(2_000 + HANDOVER_DELAY_MILLIS + HANDOVER_MARGIN_MILLIS);
        long previousTerm = fleet.moves().getLast().term();

        a.drain();
        long releasedAt = scheduler.now().toEpochMilli();
        ask(b, JobRequest.Action.SUBMIT, "00000000000000a0");
        advanceMillis(HANDOVER_DELAY_MILLIS);

        List<SeenMove> after = fleet.moves().stream().filter(m -> m.term() > previousTerm).toList();
        assertThat(firstMoveAtMillis(after, "s1") - releasedAt).isLessThan(1_000);
    }

    private static long firstMoveAtMillis(List<SeenMove> moves, String vm) {
        return moves.stream()
                .filter(m -> m.vm().equals(vm))
                .mapToLong(SeenMove::atMillis)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Each process finds the lease expired when the store returns, and the holder is still there.
     */
    @Test
    void theHolderKeepsItsLeaseOverAnOutageOfTheStore() {
        addWorker("w1", 1_000);
        startNodeAndWait("a");
        for (int i = 0; i < 10; i++) {
            advanceMillis(TIMER_OFFSET_MILLIS);
            startNodeAndWait("b" + i);
        }
        String termBefore = storedTerm();
        for (long outageMillis = 3_000; outageMillis < 4_000; outageMillis += 90) {
            store.setFault(StoreFault.DOWN);
            advanceMillis(outageMillis);
            store.setFault(StoreFault.NONE);
            advanceMillis(3_000);
            assertThat(storedTerm())
                    .as("term after an outage of %s ms", outageMillis)
                    .isEqualTo(termBefore);
        }
    }

    private String storedTerm() {
        CompletableFuture<RowStore.Page> page =
                store.scan(
                                StoreLayout.HOLDER_TABLE,
                                StoreLayout.HOLDER_PARTITION,
                                RowStore.KeyRange.ALL)
                        .toCompletableFuture();
        advanceMillis(50);
        return page.join().rows().stream()
                .filter(r -> r.key().equals(StoreLayout.TERM_KEY))
                .map(Row::value)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aLeaseIsTakenOverAlthoughItsHolderDiedDuringAnOutageOfTheStore() {
        addWorker("w1", 1_000);
        DelayingStore connectionOfA = new DelayingStore(store);
        startNode("a", connectionOfA);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        store.setFault(StoreFault.DOWN);
        advanceMillis(2_000);
        connectionOfA.hold(w -> true);
        connectionOfA.stopFeeds();
        advanceMillis(1_000);
        store.setFault(StoreFault.NONE);
        advanceMillis(4_000);
        assertThat(ask(b, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        advanceMillis(2_000);
        assertThat(fleet.starts()).isNotEmpty();
    }

    @Test
    void vmsAreNotOrderedWhileTheOrdersCannotBeStored() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = startNodeAndWait("a");
        ask(a, JobRequest.Action.SUBMIT, JOB);
        store.setFault(StoreFault.DOWN);
        int before = fleet.moves().size();
        advanceMillis(1_000);
        assertThat(fleet.moves()).hasSize(before);
    }

    @Test
    void tasksOfACrashedWorkerStartElsewhereSoon() {
        MemoryWorker first = addWorker("w1", 3_000);
        startNode("a");
        advanceMillis(500);
        ask(nodes.get(0), JobRequest.Action.SUBMIT, JOB);
        advanceMillis(100);
        addWorker("w2", 3_000);
        advanceMillis(50);
        first.crash();
        advanceMillis(1_500);

        assertThat(fleet.starts()).filteredOn(s -> s.endsWith("@w2")).hasSize(3);
        assertThat(ask(nodes.get(0), JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }

    @Test
    void crashIsDetectedAlthoughStandbyVmsListNoWorker() {
        addStandby("s1");
        tasksOfACrashedWorkerStartElsewhereSoon();
    }

    @Test
    void tasksOfAnUnresponsiveWorkerStartElsewhereOnlyAfterItsLease() {
        MemoryWorker first = addWorker("w1", 3_000);
        startNode("a");
        advanceMillis(500);
        ask(nodes.get(0), JobRequest.Action.SUBMIT, JOB);
        advanceMillis(100);
        addWorker("w2", 3_000);
        first.setSilent(true);
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(3);
        advanceMillis(1_500);
        assertThat(fleet.starts()).hasSize(6);
    }

    @Test
    void tableIsReloadedAfterItsHistoryIsLost() {
        addWorker("w1", 10_000);
        TaskNode a = startNodeAndWait("a");
        store.setFault(StoreFault.FORGETFUL);
        advanceMillis(100);
        store.setFault(StoreFault.NONE);
        ask(a, JobRequest.Action.SUBMIT, JOB);
        advanceMillis(2_000);
        assertThat(ask(a, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }

    @Test
    void manifestIsNeverReplacedByAnOlderOne() {
        TaskNode a = startNodeAndWait("a");
        configure(manifest(5, Set.of("new")));
        advanceMillis(500);
        configure(manifest(4, Set.of("key")));
        advanceMillis(500);
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.KeyRefused.class);
    }

    @Test
    void isNotReadyWhileTheStoreIsDown() {
        TaskNode a = startNode("a");
        assertThat(a.isReady()).isFalse();
        advanceMillis(500);
        assertThat(a.isReady()).isTrue();
        store.setFault(StoreFault.DOWN);
        advanceMillis(3_000);
        assertThat(a.isReady()).isFalse();
        store.setFault(StoreFault.NONE);
        advanceMillis(2_000);
        assertThat(a.isReady()).isTrue();
        a.drain();
        assertThat(a.isReady()).isFalse();
    }

    @Test
    void requestsAreRefusedAtOnceWhileTheStoreDoesNotRespond() {
        TaskNode a = startNodeAndWait("a");
        store.setFault(StoreFault.SILENT);
        ask(a, JobRequest.Action.SUBMIT, JOB);

        long start = scheduler.now().toEpochMilli();
        assertThat(ask(a, JobRequest.Action.SUBMIT, "00000000000000aa"))
                .isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(scheduler.now().toEpochMilli() - start).isLessThan(100);
        assertThat(a.isReady()).isFalse();

        store.setFault(StoreFault.NONE);
        advanceMillis(2_000);
        assertThat(a.isReady()).isTrue();
        assertThat(ask(a, JobRequest.Action.READ, "00000000000000aa"))
                .isInstanceOf(JobAnswer.NoSuchJob.class);
    }
}
