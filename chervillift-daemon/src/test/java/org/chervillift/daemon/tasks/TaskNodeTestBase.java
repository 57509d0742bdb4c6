package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryStore;
import org.chervillift.standin.tasks.MemoryWorker;

/** Base of tests with standby VMs, whose moves never complete, and jobs of three tasks. */
abstract class TaskNodeTestBase {

    static final long HANDOVER_DELAY_MILLIS = NodeFixture.HANDOVER_DELAY_MILLIS;
    static final long HANDOVER_MARGIN_MILLIS = 1_000;
    static final String JOB = "5c0e7a21d94b36f8";
    private static final String STANDBY_POOL = "spare";

    private final NodeFixture fixture = new NodeFixture(STANDBY_POOL);
    final ManualScheduler scheduler = fixture.scheduler;
    final MemoryStore store = fixture.store;
    final MemoryFleet fleet = fixture.fleet;
    final List<TaskNode> nodes = fixture.startedNodes;

    TaskNodeTestBase() {
        fleet.holdMoves(true);
    }

    Manifest manifest(long version, Set<String> keys) {
        return fixture.manifest(version, keys);
    }

    void configure(Manifest manifest) {
        fixture.configure(manifest);
    }

    MemoryWorker addWorker(String id, long milliCores) {
        fixture.addWorker(id, "vm-" + id, NodeFixture.POOL, milliCores);
        return fleet.worker(id);
    }

    void addStandby(String vm) {
        fixture.addWorker(vm + "-worker", vm, STANDBY_POOL, 1_000);
    }

    TaskNode startNode(String vm) {
        return startNode(vm, store);
    }

    TaskNode startNode(String vm, RowStore storeView) {
        return fixture.startNode(vm, storeView);
    }

    TaskNode startNodeAndWait(String vm) {
        return fixture.startNodeAndWait(vm, store);
    }

    static JobRequest request(JobRequest.Action action, String id, String key, int count) {
        return NodeFixture.request(action, id, key, count);
    }

    JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        return await(node.answer(request(action, id, NodeFixture.KEY, 3)));
    }

    JobAnswer await(CompletionStage<JobAnswer> stage) {
        return fixture.await(stage);
    }

    void advanceMillis(long millis) {
        fixture.advanceMillis(millis);
    }
}
