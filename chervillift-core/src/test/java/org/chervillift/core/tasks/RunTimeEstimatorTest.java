package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RunTimeEstimatorTest {

    private static final int RUNS = 400;

    private final RunTimeEstimator runTimes = new RunTimeEstimator();

    @Test
    void anEstimateIsUsedUnchangedWithoutRecordedRuns() {
        assertThat(runTimes.estimateMillis("q", 500)).isEqualTo(500);
    }

    @Test
    void anEstimateThatIsOffByAFactorIsCorrected() {
        Random random = new Random(1);
        for (int i = 0; i < RUNS; i++) {
            long actual = 200 + random.nextInt(2_000);
            runTimes.recordRunTime("q", actual * 3, actual);
        }
        assertThat(runTimes.estimateMillis("q", 3_000)).isCloseTo(1_000, within(100L));
    }

    @Test
    void theMeanReplacesEstimatesWithoutInformation() {
        Random random = new Random(1);
        for (int i = 0; i < RUNS; i++) {
            runTimes.recordRunTime("q", 10 + random.nextInt(100_000), 900 + random.nextInt(200));
        }
        assertThat(runTimes.estimateMillis("q", 50)).isCloseTo(1_000, within(200L));
        assertThat(runTimes.estimateMillis("q", 90_000)).isCloseTo(1_000, within(200L));
    }
}
