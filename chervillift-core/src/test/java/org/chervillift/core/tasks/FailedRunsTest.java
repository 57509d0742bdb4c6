package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the failed runs of a task. */
class FailedRunsTest {

    private static final int MANY = 10_000;
    private static final int MOST_KEPT = 200;

    private final FailedRuns failed = new FailedRuns();

    @Test
    void eachRunCountsOnce() {
        assertThat(failed.add(3)).isTrue();
        assertThat(failed.add(3)).isFalse();
        failed.addAll(List.of(1, 3));
        assertThat(failed.count()).isEqualTo(2);
        assertThat(failed.kept()).containsExactly(1, 3);
    }

    /** The row of a task that may fail very often grew without a bound. */
    @Test
    void allRunsCountAndOnlyTheNewestAreKept() {
        for (int run = 1; run <= MANY; run++) {
            assertThat(failed.add(run)).isTrue();
        }
        assertThat(failed.add(1)).isFalse();
        assertThat(failed.count()).isEqualTo(MANY);
        assertThat(failed.kept()).hasSize(MOST_KEPT).last().isEqualTo(MANY);
    }
}
