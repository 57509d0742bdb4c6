package org.chervillift.core.retry;

import org.chervillift.api.Checks;

/**
 * Bounds retries to a part of the first attempts.
 *
 * <p>Each first attempt adds a fraction of a token, each retry takes a whole one. Confined to one
 * thread.
 */
public final class RetryBudget {

    private final double tokensPerRequest;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerRequest the retries that one first attempt pays for, from 0 to 1
     * @param mostTokens the retries that can be saved up
     */
    public RetryBudget(double tokensPerRequest, double mostTokens) {
        Checks.that(tokensPerRequest >= 0 && tokensPerRequest <= 1, "tokensPerRequest: 0 to 1");
        Checks.that(mostTokens >= 1, "mostTokens must be at least 1");
        this.tokensPerRequest = tokensPerRequest;
        this.maxTokens = mostTokens;
        this.tokens = mostTokens;
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerRequest);
    }

    /** Takes a token, and returns whether there was one. */
    public boolean tryTakeRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
