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

/** Tests of nodes with VMs in standby, which stay on their way, and jobs of three tasks. */
abstract class TaskNodeFixture {

    static final long TAKE_TURNS_MILLIS = NodeFixture.TAKE_TURNS_MILLIS;
    static final long TURN_MARGIN_MILLIS = 1_000;
    static final String JOB = "5c0e7a21d94b36f8";
    private static final String STANDBY = "spare";

    private final NodeFixture fixture = new NodeFixture(STANDBY);
    final ManualScheduler scheduler = fixture.scheduler;
    final MemoryStore store = fixture.store;
    final MemoryFleet fleet = fixture.fleet;
    final List<TaskNode> nodes = fixture.started;

    TaskNodeFixture() {
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
        fixture.addWorker(vm + "-worker", vm, STANDBY, 1_000);
    }

    TaskNode node(String vm) {
        return node(vm, store);
    }

    TaskNode node(String vm, RowStore view) {
        return fixture.start(vm, view);
    }

    TaskNode runningNode(String vm) {
        return fixture.runningNode(vm, store);
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

    void pass(long millis) {
        fixture.pass(millis);
    }
}
