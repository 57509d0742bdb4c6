package org.chervillift.core.retry;

import org.chervillift.api.Checks;

/**
 * Limits retries to a fraction of the first attempts.
 *
 * <p>Each first attempt adds a fraction of a token, each retry takes a whole token. Not
 * thread-safe.
 */
public final class RetryBudget {

    private final double tokensPerRequest;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerRequest the tokens that one first attempt adds, from 0 to 1
     * @param maxTokens the maximum number of tokens, at least 1
     */
    public RetryBudget(double tokensPerRequest, double maxTokens) {
        Checks.that(
                tokensPerRequest >= 0 && tokensPerRequest <= 1,
                "tokensPerRequest must be from 0 to 1");
        Checks.that(maxTokens >= 1, "maxTokens must be at least 1");
        this.tokensPerRequest = tokensPerRequest;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Adds tokens for a first attempt. */
    public void recordFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerRequest);
    }

    /** Takes a token for a retry; returns false if there is none. */
    public boolean tryTakeRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
