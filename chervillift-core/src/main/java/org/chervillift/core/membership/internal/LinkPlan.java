package org.chervillift.core.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.NodeIdentity;

/**
 * Decides to which addresses a process connects: to all processes in its data centre, and between
 * two data centres by a few pairs of processes, chosen by rendezvous hashing with bounded load.
 */
public final class LinkPlan {

    private final int linksToDataCentre;

    /** Creates a plan with the given number of links between two data centres. */
    public LinkPlan(int linksToDataCentre) {
        this.linksToDataCentre = linksToDataCentre;
    }

    /** Returns the addresses that a process connects to. */
    public Set<String> addressesToDial(NodeIdentity self, Collection<Member> members) {
        Set<String> addresses = new TreeSet<>();
        TreeMap<String, List<NodeIdentity>> alive = new TreeMap<>();
        TreeMap<String, List<NodeIdentity>> usable = new TreeMap<>();
        addToDataCentre(alive, self);
        for (Member m : members) {
            boolean isSameDataCentre = m.node().dataCentre().equals(self.dataCentre());
            if (isSameDataCentre && m.state() != MemberState.GONE) {
                addresses.add(m.node().address());
            }
            if (m.isAliveOrSuspected()) {
                addToDataCentre(usable, m.node());
            }
            if (m.state() == MemberState.ALIVE) {
                addToDataCentre(alive, m.node());
            }
        }
        Set<String> others = new TreeSet<>(usable.keySet());
        others.remove(self.dataCentre());
        Map<String, List<NodeIdentity>> gateways = gateways(self.dataCentre(), alive, others);
        for (String other : others) {
            int index = gateways.get(other).indexOf(self);
            if (index >= 0) {
                addresses.addAll(crossDataCentreAddresses(self, other, index, alive, usable));
            }
        }
        return addresses;
    }

    private Set<String> crossDataCentreAddresses(
            NodeIdentity self,
            String other,
            int index,
            Map<String, List<NodeIdentity>> alive,
            Map<String, List<NodeIdentity>> usable) {
        Set<String> addresses = new TreeSet<>();
        if (!alive.containsKey(other)) {
            usable.get(other).forEach(n -> addresses.add(n.address()));
            return addresses;
        }
        if (self.dataCentre().compareTo(other) < 0) {
            Set<String> theirOthers = new TreeSet<>(usable.keySet());
            theirOthers.add(self.dataCentre());
            theirOthers.remove(other);
            List<NodeIdentity> theirs = gateways(other, alive, theirOthers).get(self.dataCentre());
            addresses.add(theirs.get(index % theirs.size()).address());
        }
        return addresses;
    }

    /** Returns the gateways of a data centre: for each other one, the processes that link to it. */
    private Map<String, List<NodeIdentity>> gateways(
            String dataCentre, Map<String, List<NodeIdentity>> alive, Set<String> others) {
        List<NodeIdentity> nodes = alive.get(dataCentre);
        Map<String, Integer> loads = new HashMap<>();
        Map<String, List<NodeIdentity>> gateways = new HashMap<>();
        for (String other : others) {
            List<NodeIdentity> chosen = new ArrayList<>();
            for (int i = 0; i < Math.min(linksToDataCentre, nodes.size()); i++) {
                NodeIdentity best = leastLoaded(nodes, chosen, loads, other);
                chosen.add(best);
                loads.merge(best.id(), 1, Integer::sum);
            }
            gateways.put(other, chosen);
        }
        return gateways;
    }

    private static NodeIdentity leastLoaded(
            List<NodeIdentity> nodes,
            List<NodeIdentity> chosen,
            Map<String, Integer> loads,
            String other) {
        return nodes.stream()
                .filter(n -> !chosen.contains(n))
                .min(
                        Comparator.comparingInt((NodeIdentity n) -> loads.getOrDefault(n.id(), 0))
                                .thenComparingLong(n -> RendezvousHash.weight(n.id(), other))
                                .thenComparing(NodeIdentity::id))
                .orElseThrow();
    }

    private static void addToDataCentre(
            Map<String, List<NodeIdentity>> byDataCentre, NodeIdentity node) {
        byDataCentre.computeIfAbsent(node.dataCentre(), d -> new ArrayList<>()).add(node);
    }
}
