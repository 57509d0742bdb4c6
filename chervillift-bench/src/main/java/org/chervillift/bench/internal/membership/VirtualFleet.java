package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.chervillift.bench.internal.ConditionBrokenException;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Processes in data centres that run the real membership decisions in virtual time. */
public final class VirtualFleet {

    private final long seed;
    private final RandomGenerator random;
    private final ManualScheduler scheduler = new ManualScheduler();
    private final VirtualStore store = new VirtualStore();
    private final VirtualNetwork network;
    private final List<VirtualNode> nodes = new ArrayList<>();
    private final Map<VirtualNode, Versions> seen = new HashMap<>();
    private Instant lastStoreRead = Instant.MIN;
    private long lives;

    /** Creates and starts a fleet. */
    public VirtualFleet(int dataCentres, int processes, long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.network = new VirtualNetwork(scheduler, random);
        for (int i = 0; i < processes; i++) {
            add("entry-" + i, "dc-" + i % dataCentres, "10.0." + i % dataCentres + "." + i + ":7");
        }
    }

    /** Returns the live processes. */
    public List<VirtualNode> nodes() {
        return List.copyOf(nodes);
    }

    /** Lets time pass. */
    public void run(Duration time) {
        scheduler.advance(time);
    }

    /** Commits newer versions in the store. */
    public void commit(Versions newer) {
        store.commit(newer);
    }

    /** Lets time pass until all live processes hold what is in force; returns how long. */
    public Duration awaitInForce(Duration bound) {
        Instant from = scheduler.now();
        while (!nodes.stream().allMatch(n -> n.held().equals(store.inForce()))) {
            run(Duration.ofMillis(1));
            if (Duration.between(from, scheduler.now()).compareTo(bound) > 0) {
                fail("not in force everywhere within " + bound.toMillis() + " ms");
            }
        }
        return Duration.between(from, scheduler.now());
    }

    /** Ends the life of a process and starts another on the same address. */
    public VirtualNode replace(VirtualNode node, String newId) {
        NodeIdentity old = node.identity();
        node.stop();
        nodes.remove(node);
        if (!newId.equals(old.id())) {
            store.unlist(old.id(), scheduler.now());
        }
        return add(newId, old.dataCentre(), old.address());
    }

    ManualScheduler scheduler() {
        return scheduler;
    }

    VirtualStore store() {
        return store;
    }

    VirtualNetwork network() {
        return network;
    }

    RandomGenerator random() {
        return random;
    }

    void storeWasReadAt(Instant startedAt) {
        if (startedAt.isAfter(lastStoreRead)) {
            lastStoreRead = startedAt;
        }
    }

    /** Checks what must always hold, after each step of a process. */
    void check(VirtualNode node, Instant now) {
        Versions before = seen.getOrDefault(node, Versions.NONE);
        Versions held = node.held();
        for (ContentKind kind : ContentKind.values()) {
            if (held.of(kind) < before.of(kind)) {
                fail(node.identity().id() + " went back to a lower version");
            }
            if (held.of(kind) > store.inForce().of(kind)) {
                fail(node.identity().id() + " holds a version that was never in force");
            }
        }
        seen.put(node, held);
        Instant claimed = node.membership().storeReadAt().orElse(Instant.MIN);
        if (claimed.isAfter(lastStoreRead)) {
            fail(node.identity().id() + " claims a read of the store that nobody made");
        }
        if (node.membership().dialledAddresses().contains(node.identity().address())) {
            fail(node.identity().id() + " dials itself");
        }
    }

    /** Checks a judgement: only a life that has ended may be held for gone. */
    void changed(VirtualNode judge, Member member) {
        if (member.state() != MemberState.GONE) {
            return;
        }
        for (VirtualNode n : nodes) {
            NodeIdentity live = n.identity();
            boolean same =
                    live.id().equals(member.id())
                            && live.incarnation() == member.node().incarnation();
            if (same) {
                fail(judge.identity().id() + " holds the live " + member.id() + " for gone");
            }
        }
    }

    void fail(String what) {
        throw new ConditionBrokenException(what + " at " + scheduler.now(), seed);
    }

    private VirtualNode add(String id, String dataCentre, String address) {
        lives++;
        NodeIdentity identity = new NodeIdentity(id, lives, dataCentre, address);
        Set<String> seeds =
                Set.copyOf(nodes.stream().limit(2).map(n -> n.identity().address()).toList());
        VirtualNode node = new VirtualNode(this, identity, seeds, random);
        nodes.add(node);
        network.add(node);
        store.list(identity, scheduler.now());
        node.start();
        return node;
    }
}
