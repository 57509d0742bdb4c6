package org.chervillift.bench.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipSoakTest {

    private static final int ROUNDS = 5;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void holdsUnderFaults(long seed) {
        assertThat(new MembershipSoak(seed).run(ROUNDS)).isEqualTo(ROUNDS);
    }
}
