package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The answers of the placement advice service about one occurrence of a step. */
final class StepAdvice {

    private static final long NEVER = Long.MIN_VALUE;

    /** A ticket must remain valid for this long to be used, or for half of its validity. */
    private static final long MIN_VALIDITY_MILLIS = 300;

    /** A step whose request has failed comes after others for this long. */
    private static final long FAILURE_PAUSE_MILLIS = 1_000;

    private final Map<String, Ticket> ticketsByWorker = new HashMap<>();
    private final Set<String> refusedWorkers = new HashSet<>();
    private long failedAt = NEVER;

    private record Ticket(String text, long usableUntil) {}

    /** Returns a valid ticket for a worker, if there is one. */
    Optional<String> ticketFor(String worker, long now) {
        Ticket ticket = ticketsByWorker.get(worker);
        return ticket != null && now <= ticket.usableUntil()
                ? Optional.of(ticket.text())
                : Optional.empty();
    }

    /**
     * Applies an answer.
     *
     * @param asked the workers of the request
     * @param allowed the tickets of the workers that may run the step
     * @param validUntil when the tickets expire, in milliseconds
     */
    void applyAnswer(List<String> asked, Map<String, String> allowed, long validUntil, long now) {
        failedAt = NEVER;
        long usableUntil = validUntil - Math.min(MIN_VALIDITY_MILLIS, (validUntil - now) / 2);
        for (String worker : asked) {
            String ticket = allowed.get(worker);
            if (ticket == null) {
                refusedWorkers.add(worker);
            } else {
                ticketsByWorker.put(worker, new Ticket(ticket, usableUntil));
            }
        }
    }

    /** Returns whether the service has refused a worker for the step. */
    boolean isRefused(String worker) {
        return refusedWorkers.contains(worker);
    }

    /** Records that a request about the step failed. */
    void recordFailure(long now) {
        failedAt = now;
    }

    /** Returns whether the last request failed a short time ago. */
    boolean hasJustFailed(long now) {
        return failedAt != NEVER && now - failedAt < FAILURE_PAUSE_MILLIS;
    }

    /** Returns when the last request failed, in milliseconds; long ago if it was answered. */
    long failedAt() {
        return failedAt;
    }

    /** Discards a ticket that its worker refused. */
    void discardTicket(String worker) {
        ticketsByWorker.remove(worker);
    }

    /** Forgets a worker that has left the fleet, or has begun a new lifetime. */
    void forgetWorker(String worker) {
        ticketsByWorker.remove(worker);
        refusedWorkers.remove(worker);
    }
}
