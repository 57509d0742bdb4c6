package org.chervillift.core.requests;

import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;

/**
 * What is needed to decide whether to retry a request.
 *
 * @param policy the retry policy
 * @param budget the retry budget of this entry VM
 * @param random the source of the jitter
 */
public record RetryContext(RetryPolicy policy, RetryBudget budget, RandomGenerator random) {
    public RetryContext {
        Checks.notNull("policy", policy);
        Checks.notNull("budget", budget);
        Checks.notNull("random", random);
    }
}
