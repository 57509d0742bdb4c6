package org.chervillift.bench.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.core.keys.FreshnessRules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigSoakTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheInvariantsUnderRandomFaults(long seed) {
        SoakFigures figures = ConfigSoak.run(seed, 20, FreshnessRules.DEFAULT);

        assertThat(figures.applied).isPositive();
        assertThat(figures.conflicts).isPositive();
        assertThat(figures.alreadyInForce).isPositive();
        assertThat(figures.withdrawals).isPositive();
    }
}
