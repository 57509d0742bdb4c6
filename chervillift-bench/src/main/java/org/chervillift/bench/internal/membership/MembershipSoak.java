package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.Versions;

/**
 * A long randomised run of membership under cuts, outages, replacements, silent links, and messages
 * that come late and twice.
 *
 * <p>Between the faults come calm times. After each, all processes must know all others alive and
 * hold what is in force, within the bound on bytes.
 */
public final class MembershipSoak {

    /** The bound on bytes of control a second and process. */
    public static final double MOST_BYTES_A_SECOND = 8_000;

    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES = 9;
    private static final int STEPS_A_ROUND = 12;
    private static final int MOST_STEP_SECONDS = 20;
    private static final Duration SETTLE = Duration.ofSeconds(60);
    private static final Duration MEASURE = Duration.ofSeconds(20);
    private static final double TROUBLE = 0.05;

    private final VirtualFleet fleet;
    private final RandomGenerator random;
    private long config;
    private long keyRing;
    private long names;
    private long rounds;

    /** Creates a run from a seed. */
    public MembershipSoak(long seed) {
        this.fleet = new VirtualFleet(DATA_CENTRES, PROCESSES, seed);
        this.random = fleet.random();
    }

    /**
     * Runs rounds of faults and calm.
     *
     * @return how many rounds ended
     */
    public long run(int count) {
        Checks.inRange("count", count, 1, Integer.MAX_VALUE);
        for (int i = 0; i < count; i++) {
            for (int step = 0; step < STEPS_A_ROUND; step++) {
                trouble();
                fleet.run(Duration.ofSeconds(random.nextInt(1, MOST_STEP_SECONDS)));
            }
            calm();
            rounds++;
        }
        return rounds;
    }

    private void trouble() {
        switch (random.nextInt(9)) {
            case 0 -> cutTwo();
            case 1 -> fleet.store().cut(dataCentre());
            case 2 -> fleet.store().setDown(true);
            case 3 -> fleet.store().healAll();
            case 4 -> fleet.network().setTrouble(TROUBLE);
            case 5 -> fleet.network().silenceOne(anyNode());
            case 6 -> replaceOnSameId();
            case 7 -> fleet.replace(anyNode(), "later-" + names++);
            default -> commit();
        }
    }

    private void cutTwo() {
        int first = random.nextInt(DATA_CENTRES);
        int second = (first + random.nextInt(1, DATA_CENTRES)) % DATA_CENTRES;
        fleet.network().cut("dc-" + first, "dc-" + second);
    }

    private void replaceOnSameId() {
        VirtualNode node = anyNode();
        fleet.replace(node, node.identity().id());
    }

    private void commit() {
        config += random.nextInt(2);
        keyRing += random.nextInt(2);
        fleet.commit(new Versions(config, keyRing));
    }

    private void calm() {
        fleet.network().healAll();
        fleet.store().healAll();
        fleet.network().setTrouble(0);
        fleet.run(SETTLE);
        checkViews();
        checkBytes();
    }

    private void checkViews() {
        for (VirtualNode node : fleet.nodes()) {
            if (!node.held().equals(fleet.store().inForce())) {
                fleet.fail(node.identity().id() + " does not hold what is in force after the calm");
            }
            Map<String, Member> known =
                    node.membership().members().stream()
                            .collect(Collectors.toMap(Member::id, Function.identity()));
            for (VirtualNode other : fleet.nodes()) {
                checkKnown(node, other, known.get(other.identity().id()));
            }
        }
    }

    private void checkKnown(VirtualNode node, VirtualNode other, Member member) {
        if (node == other) {
            return;
        }
        boolean alive =
                member != null
                        && member.state() == MemberState.ALIVE
                        && member.node().equals(other.identity());
        if (!alive) {
            fleet.fail(node.identity().id() + " does not know " + other.identity() + ": " + member);
        }
    }

    private void checkBytes() {
        List<VirtualNode> nodes = fleet.nodes();
        long[] before = nodes.stream().mapToLong(VirtualNode::bytes).toArray();
        fleet.run(MEASURE);
        for (int i = 0; i < nodes.size(); i++) {
            double rate = (nodes.get(i).bytes() - before[i]) / (double) MEASURE.toSeconds();
            if (rate > MOST_BYTES_A_SECOND) {
                fleet.fail(nodes.get(i).identity().id() + " spends " + rate + " bytes a second");
            }
        }
    }

    private VirtualNode anyNode() {
        return fleet.nodes().get(random.nextInt(fleet.nodes().size()));
    }

    private String dataCentre() {
        return "dc-" + random.nextInt(DATA_CENTRES);
    }
}
