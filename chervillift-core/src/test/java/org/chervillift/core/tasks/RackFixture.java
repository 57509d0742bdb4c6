package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;

/** Workers in racks whose runs take longer away from the rack of their data. */
final class RackFixture {

    static final String NEAR = "near";
    static final String FAR = "far";
    static final long CORE = 1_000;
    private static final long TICK_MILLIS = 50;

    final SchedulerFixture fixture;
    final Map<String, Long> doneAt = new TreeMap<>();
    final Map<TaskId, String> rackOf = new LinkedHashMap<>();
    final Map<String, Double> slownessOf = new HashMap<>();
    private final Map<String, String> racks = new LinkedHashMap<>();
    private final Map<TaskId, Long> endsAt = new LinkedHashMap<>();
    private final Map<TaskId, String> workerOf = new HashMap<>();
    private final double realFactor;
    private final long runMillis;

    /**
     * Creates a scheduler without workers.
     *
     * @param remoteFactor the factor in the settings of the scheduler
     * @param realFactor how many times as long runs really take elsewhere
     */
    RackFixture(double remoteFactor, double realFactor, long runMillis) {
        this.fixture = new SchedulerFixture(1, Resources.NONE, remoteFactor);
        this.realFactor = realFactor;
        this.runMillis = runMillis;
    }

    void addWorkers(String rack, int count, long milliCores) {
        for (int i = 0; i < count; i++) {
            String id = rack + i;
            racks.put(id, rack);
            list(id, milliCores, 0, false);
            fixture.report(id);
        }
        grantLeases();
    }

    void list(String id, long milliCores, long bornAt, boolean draining) {
        fixture.scheduler.workerListed(
                new WorkerEntry(
                        id,
                        bornAt,
                        "vm-" + id,
                        SchedulerFixture.POOL,
                        "127.0.0.1:1",
                        "dc",
                        draining,
                        0,
                        new Resources(milliCores, 10_000, 0),
                        List.of("a", racks.get(id))),
                fixture.now);
    }

    void grantLeases() {
        racks.keySet()
                .forEach(
                        w ->
                                fixture.scheduler.leaseGranted(
                                        w, fixture.now + SchedulerFixture.LEASE_MILLIS));
    }

    /** Returns a step of tasks of one core. */
    static StepSpec step(int count, long estimatedMillis, String dataRack, boolean coupled) {
        return new StepSpecBuilder()
                .count(count)
                .request(new Resources(CORE, 100, 0))
                .estimatedMillis(estimatedMillis)
                .tightlyCoupled(coupled)
                .dataRack(dataRack)
                .build();
    }

    /** Plans at each tick until a time, and ends the runs that are due. */
    void runUntil(long time) {
        while (fixture.now < time) {
            grantLeases();
            plan();
            fixture.now += TICK_MILLIS;
            endDue();
        }
    }

    List<Order.Start> plan() {
        List<Order.Start> starts = fixture.starts();
        starts.forEach(this::begin);
        fixture.runningByWorker.values().forEach(l -> l.replaceAll(this::withProgress));
        racks.keySet().forEach(fixture::report);
        return starts;
    }

    /** Each report shows another percentage, so that no run counts as stalled. */
    private RunningTask withProgress(RunningTask t) {
        int percent = (int) (fixture.now / TICK_MILLIS % 100);
        return new RunningTask(t.task(), t.run(), "", percent, 0);
    }

    private void begin(Order.Start start) {
        String rack = racks.get(start.worker());
        rackOf.put(start.task(), rack);
        workerOf.put(start.task(), start.worker());
        double factor = rack.equals(NEAR) ? 1 : realFactor;
        double slowness = slownessOf.getOrDefault(start.worker(), 1.0);
        endsAt.put(start.task(), fixture.now + Math.round(runMillis * factor * slowness));
    }

    private void endDue() {
        for (TaskId task : new ArrayList<>(endsAt.keySet())) {
            if (endsAt.get(task) <= fixture.now) {
                endsAt.remove(task);
                doneAt.put(task.toString(), fixture.now);
                fixture.end(workerOf.get(task), task, RunEnd.DONE);
                fixture.report(workerOf.get(task));
            }
        }
    }

    long count(SchedulerEvent.Kind kind) {
        return fixture.events.stream().filter(e -> e.kind() == kind).count();
    }
}
