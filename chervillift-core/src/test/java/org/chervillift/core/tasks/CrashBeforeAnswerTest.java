package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests tasks whose workers crash before they answer the order to start. */
class CrashBeforeAnswerTest {

    private static final long MILLI_CORES = 4_000;
    private static final int VMS = 8;

    /** Three crashes, and fewer than three starts after the third. */
    private static final int MAX_STARTS = 5;

    private static final long ORDER_TIMEOUT_MILLIS = 200;
    private static final long CRASH_NOTICED_MILLIS = 400;
    private static final int ROUNDS = 12;

    private final Set<String> gone = new HashSet<>();
    private int lifetimes;

    /** Without an answer nothing was counted, and the task crashed worker after worker. */
    @Test
    void aTaskThatCrashesEachWorkerBeforeItAnswersIsNotStartedWithoutLimit() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        assertThat(crashEachWorkerThatGetsAStart(fixture)).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aLongRunningTaskThatCrashesEachWorkerBeforeItAnswersIsNotStartedWithoutLimit() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 0));
        assertThat(crashEachWorkerThatGetsAStart(fixture)).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void manySuchTasksAtOnceAreNotStartedWithoutLimit() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(6, 1_000));
        for (int round = 0; round < ROUNDS; round++) {
            List<Order> orders = fixture.orders();
            fixture.now += ORDER_TIMEOUT_MILLIS;
            orders.forEach(o -> fixture.scheduler.applyAnswer(o, OrderAnswer.UNKNOWN, fixture.now));
            orders.stream().map(Order::worker).distinct().forEach(w -> endWorker(fixture, w));
        }
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
        assertThat(startsPerTask(fixture).values()).allMatch(n -> n <= MAX_STARTS);
    }

    private static Map<String, Integer> startsPerTask(SchedulerFixture fixture) {
        Map<String, Integer> starts = new HashMap<>();
        fixture.events.stream()
                .filter(e -> e.kind() == SchedulerEvent.Kind.START)
                .map(e -> e.task().substring(0, e.task().indexOf('#')))
                .forEach(t -> starts.merge(t, 1, Integer::sum));
        return starts;
    }

    @Test
    void aTaskThatAnswersOnlySomeOfItsStartsIsNotStartedWithoutLimit() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        int starts = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (Order order : fixture.orders()) {
                starts++;
                OrderAnswer answer = round % 2 == 0 ? OrderAnswer.DONE : OrderAnswer.UNKNOWN;
                fixture.scheduler.applyAnswer(order, answer, fixture.now);
                endWorker(fixture, order.worker());
            }
        }
        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aGangOfWhichOneTaskCrashesItsWorkerIsNotStartedWithoutLimit() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", new StepSpecBuilder().count(3).gang(true).maxPerWorker(1).build());
        int starts = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Order> orders = fixture.orders();
            starts += orders.isEmpty() ? 0 : 1;
            for (Order order : orders) {
                Order.Start start = (Order.Start) order;
                if (start.task().index() == 0) {
                    crashBeforeAnswer(fixture, start);
                } else {
                    fixture.scheduler.applyAnswer(start, OrderAnswer.DONE, fixture.now);
                    fixture.runningByWorker
                            .computeIfAbsent(start.worker(), w -> new ArrayList<>())
                            .add(new RunningTask(start.task(), start.run(), "", 10, 0));
                }
            }
            fixture.now += CRASH_NOTICED_MILLIS;
            for (Order order : orders) {
                if (!gone.contains(order.worker())) {
                    fixture.endAll(order.worker(), RunEnd.GANG_BROKEN);
                }
            }
            keepAlive(fixture);
        }
        assertThat(starts).isBetween(1, MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    /** A new holder began to count anew, since nothing was stored of such a crash. */
    @Test
    void aNewHolderKnowsSuchCrashesOfItsPredecessors() {
        int starts = 0;
        JobProgress stored = null;
        for (int term = 1;
                term <= ROUNDS && (stored == null || !stored.state().isFinal());
                term++) {
            SchedulerFixture fixture = holder(term);
            fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
            addWorkers(fixture);
            fixture.accept("a", SchedulerFixture.step(1, 1_000));
            if (stored != null) {
                fixture.scheduler.restore("a", stored);
            }
            for (Order order : fixture.orders()) {
                starts++;
                crashBeforeAnswer(fixture, (Order.Start) order);
            }
            fixture.store();
            stored = fixture.lastStored.get("a");
        }
        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        assertThat(stored.state()).isEqualTo(JobState.FAILED);
    }

    /** The worker was gone before the order came: neither may the job fail, nor its task wait. */
    @Test
    void aTaskWhoseOrdersGoToWorkersThatAreGoneIsNotGivenUp() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order.Start first = (Order.Start) fixture.orders().getFirst();
        fixture.now += CRASH_NOTICED_MILLIS;
        crashBeforeAnswer(fixture, first);
        for (int round = 0; round < ROUNDS; round++) {
            fixture.now += CRASH_NOTICED_MILLIS;
            List<Order> orders = planWhileSomeWorkersAreGone(fixture);
            assertThat(orders).as("orders to workers that have not shown that they live").isEmpty();
        }
        gone.clear();
        assertThat(fixture.orders()).hasSize(1);
    }

    /** Plans, and lets the worker that is chosen be gone before it can be asked. */
    private List<Order> planWhileSomeWorkersAreGone(SchedulerFixture fixture) {
        List<Order> orders = new ArrayList<>(fixture.scheduler.plan(fixture.now, fixture.now));
        fixture.store();
        orders.addAll(fixture.scheduler.plan(fixture.now, fixture.now));
        for (String worker : fixture.scheduler.startGate().workersToAsk()) {
            fixture.now += ORDER_TIMEOUT_MILLIS;
            fixture.scheduler.setReachable(worker, false, fixture.now);
            fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
            fixture.scheduler.workerUnlisted(worker);
            addWorker(fixture, Math.floorMod(worker.hashCode(), VMS));
            fixture.now += CRASH_NOTICED_MILLIS;
        }
        return orders;
    }

    /** A VM whose workers crash whatever they run took the same task again and again. */
    @Test
    void aTaskGoesToAnotherVmThanThatOnWhichAWorkerCrashed() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order.Start first = (Order.Start) fixture.orders().getFirst();
        crashBeforeAnswer(fixture, first);
        Order.Start second = (Order.Start) fixture.orders().getFirst();
        assertThat(vmOf(second.worker())).isNotEqualTo(vmOf(first.worker()));
    }

    /**
     * While the platform could not be asked, a crash counted for nothing until a lease was over.
     */
    @Test
    void aWorkerHasEndedOnceANewOneRegistersOnItsVm() {
        SchedulerFixture fixture = holder(1);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        int starts = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Order> orders = fixture.orders();
            starts += orders.size();
            for (Order order : orders) {
                fixture.now += ORDER_TIMEOUT_MILLIS;
                fixture.scheduler.applyAnswer(order, OrderAnswer.UNKNOWN, fixture.now);
                fixture.scheduler.setReachable(order.worker(), false, fixture.now);
                fixture.now += 1_000;
                addWorkerOn(fixture, vmOf(order.worker()));
            }
            keepAlive(fixture);
        }
        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    private SchedulerFixture holder(long term) {
        SchedulerFixture fixture = new SchedulerFixture(term, Resources.NONE);
        addWorkers(fixture);
        return fixture;
    }

    private void addWorkers(SchedulerFixture fixture) {
        for (int vm = 0; vm < VMS; vm++) {
            addWorker(fixture, vm);
        }
    }

    private void addWorker(SchedulerFixture fixture, int vm) {
        addWorkerOn(fixture, "vm-" + vm);
    }

    /** Adds the next worker of a VM; its identifier tells the VM. */
    private void addWorkerOn(SchedulerFixture fixture, String vm) {
        lifetimes++;
        String id = vm + "/" + lifetimes;
        WorkerEntry entry =
                SchedulerFixture.entry(
                        id,
                        lifetimes,
                        vm,
                        new Resources(MILLI_CORES, 10_000, 0),
                        List.of("a", "rack-1"));
        fixture.scheduler.workerListed(entry, fixture.now);
        keepAlive(fixture, id);
    }

    private static String vmOf(String worker) {
        return worker.substring(0, worker.indexOf('/'));
    }

    private void keepAlive(SchedulerFixture fixture) {
        fixture.scheduler.listedWorkers().stream()
                .map(WorkerEntry::id)
                .filter(id -> !gone.contains(id))
                .forEach(id -> keepAlive(fixture, id));
    }

    private static void keepAlive(SchedulerFixture fixture, String id) {
        fixture.scheduler.leaseGranted(id, fixture.now + SchedulerFixture.LEASE_MILLIS);
        fixture.report(id);
    }

    private int crashEachWorkerThatGetsAStart(SchedulerFixture fixture) {
        int starts = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (Order order : fixture.orders()) {
                starts++;
                crashBeforeAnswer(fixture, (Order.Start) order);
            }
        }
        return starts;
    }

    private void crashBeforeAnswer(SchedulerFixture fixture, Order.Start start) {
        fixture.now += ORDER_TIMEOUT_MILLIS;
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        endWorker(fixture, start.worker());
    }

    private void endWorker(SchedulerFixture fixture, String worker) {
        gone.add(worker);
        fixture.scheduler.setReachable(worker, false, fixture.now);
        fixture.now += CRASH_NOTICED_MILLIS;
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now, fixture.now);
        addWorkerOn(fixture, vmOf(worker));
        keepAlive(fixture);
    }
}
