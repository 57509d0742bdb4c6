package org.chervillift.bench.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class LimitSoakTest {

    private static final int MINUTES = 15;
    private static final int SEEDS_TO_FIND_A_FAULT = 10;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noTeamExceedsItsLimitAndNothingStaysStranded(long seed) {
        Map<String, Long> counts = LimitSoak.run(seed, MINUTES, Variant.RIGHT);

        assertThat(counts.get("starts")).isGreaterThan(10_000);
        assertThat(counts.get("handovers_clean")).isPositive();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "RIGHT")
    void theChecksSeeEachFaultMadeOnPurpose(Variant faulty) {
        assertThatThrownBy(() -> runSeeds(faulty))
                .isInstanceOf(InvariantBrokenException.class)
                .hasMessageContaining("running at the upstreams");
    }

    private static void runSeeds(Variant faulty) {
        for (long seed = 1; seed <= SEEDS_TO_FIND_A_FAULT; seed++) {
            LimitSoak.run(seed, MINUTES, faulty);
        }
    }
}
