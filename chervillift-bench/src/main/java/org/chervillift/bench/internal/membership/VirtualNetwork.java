package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Links between virtual processes, which can go silent, and messages late and doubled. */
final class VirtualNetwork {

    private static final Duration SILENT_AFTER = Duration.ofSeconds(4);
    private static final int RETRY_MILLIS = 2_000;
    private static final int INSIDE_MICROS = 500;
    private static final int ACROSS_MICROS = 5_000;
    private static final int LATE_MILLIS = 6_000;

    private final ManualScheduler scheduler;
    private final RandomGenerator random;
    private final Map<String, VirtualNode> byAddress = new HashMap<>();
    private final Set<Set<String>> cuts = new HashSet<>();
    private final Set<Link> silent = new HashSet<>();
    private double troublePart;

    VirtualNetwork(ManualScheduler scheduler, RandomGenerator random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** A link between two lives; either end may believe that it is up. */
    static final class Link {
        private final VirtualNode dialler;
        private final VirtualNode acceptor;
        private final Map<VirtualNode, Instant> lastReceived = new HashMap<>();

        Link(VirtualNode dialler, VirtualNode acceptor) {
            this.dialler = dialler;
            this.acceptor = acceptor;
        }

        VirtualNode dialler() {
            return dialler;
        }

        VirtualNode other(VirtualNode end) {
            return end == dialler ? acceptor : dialler;
        }
    }

    void add(VirtualNode node) {
        byAddress.put(node.identity().address(), node);
    }

    void cut(String a, String b) {
        cuts.add(Set.of(a, b));
    }

    void healAll() {
        cuts.clear();
    }

    /** Sets which part of the messages come late, doubled, or both. */
    void setTrouble(double part) {
        troublePart = part;
    }

    /** Makes one link of a node silent for good, if it has one; new links work. */
    void silenceOne(VirtualNode node) {
        List<Link> links = new ArrayList<>(node.links().values());
        if (!links.isEmpty()) {
            silent.add(links.get(random.nextInt(links.size())));
        }
    }

    void dial(VirtualNode from, String address) {
        Duration wait = Duration.ofMillis(random.nextInt(RETRY_MILLIS));
        scheduler.schedule(wait, () -> dialNow(from, address));
    }

    private void dialNow(VirtualNode from, String address) {
        if (!from.isUp() || !from.wants(address)) {
            return;
        }
        Optional<VirtualNode> target = at(address);
        if (target.isPresent() && from.isLinkedTo(target.get())) {
            from.dialled(address);
            return;
        }
        if (target.isEmpty() || target.get() == from || isCut(from, target.get())) {
            dial(from, address);
            return;
        }
        Link link = new Link(from, target.get());
        scheduler.schedule(latency(from, target.get()), () -> establish(link, address));
    }

    private void establish(Link link, String address) {
        VirtualNode a = link.dialler;
        VirtualNode b = link.acceptor;
        if (!a.isUp() || !b.isUp() || isCut(a, b) || a.isLinkedTo(b)) {
            dial(a, address);
            return;
        }
        link.lastReceived.put(a, scheduler.now());
        link.lastReceived.put(b, scheduler.now());
        a.linkUp(link);
        b.linkUp(link);
    }

    void send(VirtualNode from, Link link, Runnable delivery) {
        VirtualNode to = link.other(from);
        if (isCut(from, to) || silent.contains(link)) {
            return;
        }
        boolean trouble = random.nextDouble() < troublePart;
        Duration delay = latency(from, to);
        if (trouble) {
            delay = delay.plusMillis(random.nextInt(LATE_MILLIS));
            scheduler.schedule(latency(from, to), () -> arrive(link, to, delivery));
        }
        scheduler.schedule(delay, () -> arrive(link, to, delivery));
    }

    private void arrive(Link link, VirtualNode to, Runnable delivery) {
        if (to.isUp()) {
            link.lastReceived.put(to, scheduler.now());
            delivery.run();
        }
    }

    /** Closes the links of a node that brought nothing for too long. */
    void closeSilent(VirtualNode node) {
        Instant bound = scheduler.now().minus(SILENT_AFTER);
        for (Link link : List.copyOf(node.links().values())) {
            if (link.lastReceived.get(node).isBefore(bound)) {
                close(node, link);
            }
        }
    }

    void close(VirtualNode node, Link link) {
        VirtualNode other = link.other(node);
        node.linkDown(link);
        if (!isCut(node, other) && !silent.contains(link)) {
            scheduler.schedule(latency(node, other), () -> other.linkDown(link));
        }
    }

    private Optional<VirtualNode> at(String address) {
        return Optional.ofNullable(byAddress.get(address)).filter(VirtualNode::isUp);
    }

    private boolean isCut(VirtualNode a, VirtualNode b) {
        String from = a.identity().dataCentre();
        String to = b.identity().dataCentre();
        return !from.equals(to) && cuts.contains(Set.of(from, to));
    }

    private Duration latency(VirtualNode a, VirtualNode b) {
        boolean inside = a.identity().dataCentre().equals(b.identity().dataCentre());
        int base = inside ? INSIDE_MICROS : ACROSS_MICROS;
        return Duration.ofNanos((base + random.nextInt(base)) * 1_000L);
    }
}
