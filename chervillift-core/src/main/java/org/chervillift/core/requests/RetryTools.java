package org.chervillift.core.requests;

import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;

/**
 * What the decision to try again needs.
 *
 * @param policy the policy
 * @param budget the budget of this entry VM
 * @param random the source of the jitter
 */
public record RetryTools(RetryPolicy policy, RetryBudget budget, RandomGenerator random) {
    public RetryTools {
        Checks.notNull("policy", policy);
        Checks.notNull("budget", budget);
        Checks.notNull("random", random);
    }
}
