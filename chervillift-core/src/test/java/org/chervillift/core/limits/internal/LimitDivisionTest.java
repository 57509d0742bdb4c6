package org.chervillift.core.limits.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;
import org.junit.jupiter.api.Test;

class LimitDivisionTest {

    @Property(seed = "41")
    void capsAddUpToTheLimitWhenDemandExceedsIt(
            @ForAll @IntRange(max = 200) int limit,
            @ForAll @Size(min = 1, max = 48) List<@IntRange(min = 1, max = 300) Integer> demands,
            @ForAll @LongRange(min = 0, max = 1_000_000) long turn) {
        TeamRow row = row(limit, demands, turn);
        int wanted = demands.stream().mapToInt(Integer::intValue).sum();

        if (wanted <= limit) {
            row.holdings()
                    .forEach(
                            (h, v) ->
                                    assertThat(LimitDivision.cap(row, h, v.wanted(), turn))
                                            .isEqualTo(LimitDivision.NO_CAP));
        } else {
            int caps =
                    row.holdings().entrySet().stream()
                            .mapToInt(
                                    e ->
                                            LimitDivision.cap(
                                                    row, e.getKey(), e.getValue().wanted(), turn))
                            .sum();
            assertThat(caps).isEqualTo(limit);
        }
    }

    @Test
    void aLimitOfOneGoesToEachOfEightHoldersInSomeTurn() {
        List<Integer> demands = List.of(1, 1, 1, 1, 1, 1, 1, 1);
        Set<String> served = new HashSet<>();
        for (long turn = 0; turn < 100; turn++) {
            TeamRow row = row(1, demands, turn);
            for (String h : row.holdings().keySet()) {
                if (LimitDivision.cap(row, h, 1, turn) == 1) {
                    served.add(h);
                }
            }
        }

        assertThat(served).hasSize(demands.size());
    }

    private static TeamRow row(int limit, List<Integer> demands, long turn) {
        TreeMap<String, PermitHolding> holdings = new TreeMap<>();
        for (int i = 0; i < demands.size(); i++) {
            holdings.put("vm%02d".formatted(i), new PermitHolding(0, demands.get(i), turn));
        }
        return new TeamRow(1, limit, holdings);
    }
}
