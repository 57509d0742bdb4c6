package org.chervillift.core.claims;

import java.time.Instant;
import java.util.List;
import org.chervillift.core.claims.ClaimAction.End;

/** The claims or the ends of one transaction, until its outcome is known. */
final class ClaimGroup {

    private final long number;
    private final List<Ask> asks;
    private final List<End> ends;
    private final Instant at;
    private Phase phase = Phase.SENT;
    private boolean reading;
    private Instant resend = Instant.MAX;

    private ClaimGroup(long number, List<Ask> asks, List<End> ends, Instant at) {
        this.number = number;
        this.asks = List.copyOf(asks);
        this.ends = List.copyOf(ends);
        this.at = at;
    }

    static ClaimGroup ofAsks(long number, List<Ask> asks, Instant at) {
        return new ClaimGroup(number, asks, List.of(), at);
    }

    static ClaimGroup ofEnds(long number, List<End> ends, Instant at) {
        return new ClaimGroup(number, List.of(), ends, at);
    }

    long number() {
        return number;
    }

    List<Ask> asks() {
        return asks;
    }

    List<Claim> claims() {
        return asks.stream().map(Ask::claim).toList();
    }

    Instant at() {
        return at;
    }

    Phase phase() {
        return phase;
    }

    void startReading() {
        reading = true;
        phase = Phase.SENT;
    }

    void sent() {
        phase = Phase.SENT;
    }

    void resendAt(Instant time) {
        phase = Phase.RESEND;
        resend = time;
    }

    boolean isDue(Instant now) {
        return phase == Phase.RESEND && !now.isBefore(resend);
    }

    ClaimAction action() {
        if (reading) {
            return new ClaimAction.ReadClaims(number, claims());
        }
        return asks.isEmpty()
                ? new ClaimAction.CommitEnds(number, ends)
                : new ClaimAction.CommitClaims(number, claims());
    }

    /** Whether a call is under way. */
    enum Phase {
        SENT,
        RESEND
    }

    /** One request that waits for its claim. */
    static final class Ask {
        private final long ticket;
        private final Claim claim;
        private final Instant answerBy;
        private boolean abandoned;

        Ask(long ticket, Claim claim, Instant answerBy) {
            this.ticket = ticket;
            this.claim = claim;
            this.answerBy = answerBy;
        }

        long ticket() {
            return ticket;
        }

        Claim claim() {
            return claim;
        }

        Instant answerBy() {
            return answerBy;
        }

        boolean isAbandoned() {
            return abandoned;
        }

        void abandon() {
            abandoned = true;
        }
    }
}
