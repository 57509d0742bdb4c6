package org.chervillift.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryPolicyTest {

    private static final Instant NOW = Instant.EPOCH;

    @Property(seed = "11", tries = 300)
    void neverExceedsTheDeadlineTheAttemptsOrTheMaxDelay(
            @ForAll @IntRange(min = 1, max = 8) int attempts,
            @ForAll @IntRange(max = 500) int millisLeft,
            @ForAll long seed) {
        RetryPolicy policy = RetryPolicy.DEFAULT;
        Instant deadline = NOW.plusMillis(millisLeft);

        RetryPolicy.RetryDecision decision =
                policy.afterFailure(
                        attempts, deadline, new RetryBudget(0, 1), new Random(seed), NOW);

        if (decision instanceof RetryPolicy.Retry r) {
            assertThat(attempts).isLessThan(policy.mostAttempts());
            assertThat(r.delay()).isBetween(Duration.ZERO, policy.maxDelay());
            assertThat(NOW.plus(r.delay()).plus(policy.minTimeLeft())).isBeforeOrEqualTo(deadline);
        }
    }

    @Property(seed = "12", tries = 100)
    void budgetLimitsRetriesToItsFractionOfTheRequests(
            @ForAll @IntRange(min = 1, max = 2_000) int requests) {
        RetryBudget budget = new RetryBudget(0.1, 20);

        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.recordFirstAttempt();
            while (budget.tryTakeRetry()) {
                retries++;
            }
        }

        assertThat(retries).isLessThanOrEqualTo(20 + requests / 10 + 1);
    }
}
