package org.chervillift.core.membership.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chervillift.core.membership.Listing;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.NodeIdentity;

class LinkPlanTest {

    private static final int LINKS = 2;

    private final LinkPlan plan = new LinkPlan(LINKS);

    @Property(tries = 100, seed = "11")
    void linksAllDataCentresWithBoundedLinksPerProcess(
            @ForAll @IntRange(min = 2, max = 6) int dataCentres,
            @ForAll @IntRange(min = 1, max = 10) int each) {
        List<NodeIdentity> nodes = nodes(dataCentres, each);
        Map<String, NodeIdentity> byAddress = new HashMap<>();
        nodes.forEach(n -> byAddress.put(n.address(), n));
        Map<String, Integer> linkEnds = new HashMap<>();
        Map<Set<String>, Integer> linksByPair = new HashMap<>();
        for (NodeIdentity self : nodes) {
            Set<String> wanted = plan.addressesToDial(self, others(nodes, self));
            for (String address : wanted) {
                NodeIdentity other = byAddress.get(address);
                if (!other.dataCentre().equals(self.dataCentre())) {
                    linkEnds.merge(self.id(), 1, Integer::sum);
                    linkEnds.merge(other.id(), 1, Integer::sum);
                    linksByPair.merge(
                            Set.of(self.dataCentre(), other.dataCentre()), 1, Integer::sum);
                }
            }
            long inside =
                    wanted.stream()
                            .filter(a -> byAddress.get(a).dataCentre().equals(self.dataCentre()))
                            .count();
            assertThat(inside).isEqualTo(each - 1);
        }
        int pairs = dataCentres * (dataCentres - 1) / 2;
        assertThat(linksByPair).hasSize(pairs);
        assertThat(linksByPair.values()).allMatch(n -> n == Math.min(LINKS, each));
        int mostEnds = (LINKS * (dataCentres - 1) + each - 1) / each;
        assertThat(linkEnds.values()).allMatch(n -> n <= Math.max(mostEnds, dataCentres - 1));
    }

    @Property(tries = 50, seed = "12")
    void connectsToAllProcessesOfADataCentreThatIsNotHeard(
            @ForAll @IntRange(min = 1, max = 8) int each) {
        List<NodeIdentity> nodes = nodes(2, each);
        Set<String> dialled = new HashSet<>();
        for (NodeIdentity self : nodes.subList(0, each)) {
            List<Member> members = new ArrayList<>();
            for (Member m : others(nodes, self)) {
                boolean isSameDataCentre = m.node().dataCentre().equals(self.dataCentre());
                members.add(
                        isSameDataCentre ? m : m.withState(MemberState.SUSPECTED, Instant.EPOCH));
            }
            dialled.addAll(plan.addressesToDial(self, members));
        }
        assertThat(dialled)
                .containsAll(
                        nodes.subList(each, 2 * each).stream().map(NodeIdentity::address).toList());
    }

    private static List<NodeIdentity> nodes(int dataCentres, int each) {
        List<NodeIdentity> nodes = new ArrayList<>();
        for (int d = 0; d < dataCentres; d++) {
            for (int i = 0; i < each; i++) {
                String address = "10.0." + d + "." + i + ":7";
                nodes.add(new NodeIdentity("vm-" + d + "-" + i, 1, "dc" + d, address));
            }
        }
        return nodes;
    }

    private static List<Member> others(List<NodeIdentity> nodes, NodeIdentity self) {
        return nodes.stream()
                .filter(n -> !n.equals(self))
                .map(n -> Member.unheard(n, Listing.PRESENT, Instant.EPOCH))
                .map(m -> m.withState(MemberState.ALIVE, Instant.EPOCH))
                .toList();
    }
}
