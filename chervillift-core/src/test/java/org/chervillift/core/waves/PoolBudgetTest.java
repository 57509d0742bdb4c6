package org.chervillift.core.waves;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.core.fleet.FleetHealth;
import org.junit.jupiter.api.Test;

class PoolBudgetTest {

    private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
    private static final WaveSettings SETTINGS = WaveSettings.DEFAULT;

    @Property(seed = "5", tries = 500)
    void neverTakesOutMoreThanTheBudgetAllows(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 100) int percent) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<VmRow> vms = new ArrayList<>();
        Set<String> up = new HashSet<>();
        for (int i = 0; i < random.nextInt(1, 20); i++) {
            VmRow row = vm("v" + i, "r" + random.nextInt(4));
            VmState[] states = VmState.values();
            boolean inService = random.nextInt(3) > 0;
            vms.add(inService ? row : row.enter(states[random.nextInt(states.length)], NOW));
            if (random.nextInt(10) > 0) {
                up.add(row.id());
            }
        }
        PoolBudget budget = budget(vms, up, percent);

        List<VmRow> taken = new ArrayList<>();
        for (VmRow v : vms) {
            if (budget.canTakeOut(v)) {
                budget.recordTakenOut(v);
                taken.add(v);
            }
        }

        long size = vms.stream().filter(v -> v.state() != VmState.JOINING).count();
        long left =
                vms.stream()
                        .filter(v -> v.state() == VmState.IN_SERVICE && up.contains(v.id()))
                        .filter(v -> !taken.contains(v))
                        .count();
        assertThat(taken.isEmpty() || left * 100 >= size * percent).isTrue();
    }

    @Test
    void takesASecondRackOnlyIfTheBudgetCoversTheLossOfARack() {
        List<VmRow> vms = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            vms.add(vm("v" + i, "r" + i / 2));
        }
        PoolBudget tight = budget(vms, ids(vms), 50);
        tight.recordTakenOut(vms.getFirst());
        PoolBudget tighter = budget(vms, ids(vms), 70);
        tighter.recordTakenOut(vms.getFirst());

        assertThat(tight.canTakeOut(vms.get(2))).isTrue();
        assertThat(tighter.canTakeOut(vms.get(2))).isFalse();
    }

    @Test
    void countsVmsOnProbationAsUnavailable() {
        List<VmRow> vms = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            vms.add(vm("v" + i, "r0"));
        }
        Instant reboot = NOW.minus(Duration.ofMinutes(2));
        vms.set(0, vms.get(0).rebooted(reboot).enter(VmState.IN_SERVICE, reboot));
        vms.set(1, vms.get(1).rebooted(reboot).enter(VmState.IN_SERVICE, reboot));

        assertThat(budget(vms, ids(vms), 70).canTakeOut(vms.get(5))).isFalse();
        assertThat(budget(vms, ids(vms), 60).canTakeOut(vms.get(5))).isTrue();
    }

    @Test
    void takesNothingWhenTheLastHealthCheckIsOld() {
        List<VmRow> vms = List.of(vm("v0", "r0"), vm("v1", "r1"));
        FleetHealth health = FleetHealth.UNKNOWN.afterCheck(ids(vms), ids(vms), ids(vms), NOW);
        FleetHealth old = health.asOf(NOW.plusSeconds(11), SETTINGS.healthMostAge());

        PoolBudget budget =
                PoolBudget.of(
                        new PoolRow("p", 0, false, 0), vms, old, Optional.empty(), SETTINGS, NOW);

        assertThat(budget.canTakeOut(vms.getFirst())).isFalse();
    }

    private static Set<String> ids(List<VmRow> vms) {
        Set<String> ids = new HashSet<>();
        vms.forEach(v -> ids.add(v.id()));
        return ids;
    }

    private static PoolBudget budget(List<VmRow> vms, Set<String> up, int percent) {
        FleetHealth health = FleetHealth.UNKNOWN.afterCheck(ids(vms), up, up, NOW);
        PoolRow pool = new PoolRow("p", percent, false, 0);
        return PoolBudget.of(pool, vms, health, Optional.empty(), SETTINGS, NOW);
    }

    private static VmRow vm(String id, String rack) {
        VmSpec spec = new VmSpec(id, "p", "dc1", rack, "127.0.0.1:80", 8);
        return VmRow.first(spec, Instant.EPOCH);
    }
}
