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
 * Says whom a process dials: all within its data centre, and between two data centres a few pairs
 * chosen by rendezvous hashing with a bounded load a process.
 */
public final class LinkPlan {

    private final int linksToDataCentre;

    /** Creates a plan with that many links between two data centres. */
    public LinkPlan(int linksToDataCentre) {
        this.linksToDataCentre = linksToDataCentre;
    }

    /** Returns the addresses to dial. */
    public Set<String> addressesToDial(NodeIdentity self, Collection<Member> members) {
        Set<String> wanted = new TreeSet<>();
        TreeMap<String, List<NodeIdentity>> alive = new TreeMap<>();
        TreeMap<String, List<NodeIdentity>> usable = new TreeMap<>();
        addToDataCentre(alive, self);
        for (Member m : members) {
            boolean near = m.node().dataCentre().equals(self.dataCentre());
            if (near && m.state() != MemberState.GONE) {
                wanted.add(m.node().address());
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
                wanted.addAll(crossDataCentreAddresses(self, other, index, alive, usable));
            }
        }
        return wanted;
    }

    private Set<String> crossDataCentreAddresses(
            NodeIdentity self,
            String other,
            int index,
            Map<String, List<NodeIdentity>> alive,
            Map<String, List<NodeIdentity>> usable) {
        Set<String> wanted = new TreeSet<>();
        if (!alive.containsKey(other)) {
            usable.get(other).forEach(n -> wanted.add(n.address()));
            return wanted;
        }
        if (self.dataCentre().compareTo(other) < 0) {
            Set<String> theirOthers = new TreeSet<>(usable.keySet());
            theirOthers.add(self.dataCentre());
            theirOthers.remove(other);
            List<NodeIdentity> theirs = gateways(other, alive, theirOthers).get(self.dataCentre());
            wanted.add(theirs.get(index % theirs.size()).address());
        }
        return wanted;
    }

    /** Returns, for each other data centre, the processes of one that keep the links to it. */
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
