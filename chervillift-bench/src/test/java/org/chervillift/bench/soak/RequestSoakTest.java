package org.chervillift.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestSoakTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void holdsItsInvariants(long seed) {
        Map<String, Long> counts = RequestSoak.run(seed, Duration.ofSeconds(60));

        assertThat(counts).containsKeys("fault.kill", "fault.pause", "fault.store-down", "cut");
        assertThat(counts.get("verdict.completed")).isGreaterThan(2_000);
        assertThat(counts.get("verdict.may-have-run")).isPositive();
        assertThat(counts.get("verdict.not-run")).isPositive();
    }

    @Test
    void seesAStoreThatIgnoresConditions() {
        assertThatThrownBy(() -> RequestSoak.runOverFaultyStore(1, Duration.ofSeconds(60)))
                .isInstanceOf(SoakFault.class)
                .hasMessageContaining("ran 2 times");
    }
}
