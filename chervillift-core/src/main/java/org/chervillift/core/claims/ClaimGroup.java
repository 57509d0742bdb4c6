package org.chervillift.core.claims;

import java.time.Instant;
import java.util.List;
import org.chervillift.core.claims.ClaimAction.Completion;

/** The claims or the completions of one transaction whose outcome is not known yet. */
final class ClaimGroup {

    private final long number;
    private final List<PendingClaim> pendingClaims;
    private final List<Completion> completions;
    private final Instant createdAt;
    private Phase phase = Phase.AWAITING_REPLY;
    private boolean reading;
    private Instant resendAt = Instant.MAX;

    private ClaimGroup(
            long number,
            List<PendingClaim> pendingClaims,
            List<Completion> completions,
            Instant createdAt) {
        this.number = number;
        this.pendingClaims = List.copyOf(pendingClaims);
        this.completions = List.copyOf(completions);
        this.createdAt = createdAt;
    }

    static ClaimGroup ofClaims(long number, List<PendingClaim> pendingClaims, Instant createdAt) {
        return new ClaimGroup(number, pendingClaims, List.of(), createdAt);
    }

    static ClaimGroup ofCompletions(long number, List<Completion> completions, Instant createdAt) {
        return new ClaimGroup(number, List.of(), completions, createdAt);
    }

    long number() {
        return number;
    }

    List<PendingClaim> pendingClaims() {
        return pendingClaims;
    }

    List<Claim> claims() {
        return pendingClaims.stream().map(PendingClaim::claim).toList();
    }

    Instant createdAt() {
        return createdAt;
    }

    Phase phase() {
        return phase;
    }

    void startReading() {
        reading = true;
        phase = Phase.AWAITING_REPLY;
    }

    void markSent() {
        phase = Phase.AWAITING_REPLY;
    }

    void scheduleResend(Instant dueAt) {
        phase = Phase.AWAITING_RESEND;
        resendAt = dueAt;
    }

    boolean isDue(Instant now) {
        return phase == Phase.AWAITING_RESEND && !now.isBefore(resendAt);
    }

    ClaimAction action() {
        if (reading) {
            return new ClaimAction.ReadClaims(number, claims());
        }
        return pendingClaims.isEmpty()
                ? new ClaimAction.CommitCompletions(number, completions)
                : new ClaimAction.CommitClaims(number, claims());
    }

    /** Whether a call is in flight or has to be sent again. */
    enum Phase {
        AWAITING_REPLY,
        AWAITING_RESEND
    }

    /** One request that waits for the answer to its claim. */
    static final class PendingClaim {
        private final long correlationId;
        private final Claim claim;
        private final Instant replyDeadline;
        private boolean abandoned;

        PendingClaim(long correlationId, Claim claim, Instant replyDeadline) {
            this.correlationId = correlationId;
            this.claim = claim;
            this.replyDeadline = replyDeadline;
        }

        long correlationId() {
            return correlationId;
        }

        Claim claim() {
            return claim;
        }

        Instant replyDeadline() {
            return replyDeadline;
        }

        boolean isAbandoned() {
            return abandoned;
        }

        void abandon() {
            abandoned = true;
        }
    }
}
