package org.chervillift.bench.waves;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WaveSoakTest {

    private static final double REPEATED = 0.05;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void holdsTheInvariantsUnderFaults(long seed) {
        SoakResult result = WaveSoak.run(settings(seed, Variant.SOUND));

        assertThat(result.takeOuts()).isPositive();
        assertThat(result.reboots()).isPositive();
    }

    @Test
    void noticesABudgetOutsideTheTransaction() {
        assertThatThrownBy(() -> runSeeds(Variant.BUDGET_OUTSIDE_TRANSACTION))
                .isInstanceOf(InvariantBroken.class);
    }

    @Test
    void noticesOperationsWithoutAFence() {
        assertThatThrownBy(() -> runSeeds(Variant.NO_FENCE)).isInstanceOf(InvariantBroken.class);
    }

    private static void runSeeds(Variant variant) {
        for (long seed = 1; seed <= 12; seed++) {
            WaveSoak.run(settings(seed, variant));
        }
    }

    private static SoakSettings settings(long seed, Variant variant) {
        return new SoakSettings(seed, variant, REPEATED, Duration.ofHours(2), Duration.ofHours(12));
    }
}
