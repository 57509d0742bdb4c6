package org.chervillift.daemon.tasks;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobRequest.Action;

/** Base of tests with several entry VMs that relay requests to each other. */
abstract class RelayTestBase {

    static final String JOB = "5c0e7a21d94b36f8";
    static final String NEW_KEY = "newer-key";

    final NodeFixture fixture = new NodeFixture();
    final PeerNetwork network = new PeerNetwork(fixture.scheduler);
    final Map<String, RejectingStore> stores = new HashMap<>();
    final Map<String, TaskNode> nodes = new HashMap<>();

    /** Starts entry VMs and waits until they know each other. */
    void startNodes(String... vms) {
        fixture.addVm("v1");
        for (String vm : vms) {
            stores.put(vm, new RejectingStore(fixture.store));
            TaskNode node =
                    fixture.startNode(
                            vm, stores.get(vm), PeerNetwork.addressOf(vm), network.callsOf(vm));
            nodes.put(vm, node);
            network.add(vm, node);
        }
        fixture.advanceMillis(3_000);
    }

    void reject(String... vms) {
        Set.of(vms).forEach(vm -> stores.get(vm).setRejecting(true));
        fixture.advanceMillis(3_000);
    }

    JobAnswer ask(String vm, Action action) {
        return fixture.ask(nodes.get(vm), action, JOB);
    }

    static JobRequest request(Action action, Optional<String> key) {
        return NodeFixture.request(action, JOB, key.orElse(null), 1);
    }

    JobAnswer submit(String vm, String key) {
        return fixture.await(nodes.get(vm).answer(request(Action.SUBMIT, Optional.of(key))));
    }
}
