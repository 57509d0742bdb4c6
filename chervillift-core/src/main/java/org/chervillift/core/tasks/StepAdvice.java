package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The answers of the placement advice service about one occurrence of a step. */
final class StepAdvice {

    private static final int MAX_WORKERS_PER_REQUEST = 12;
    private static final long NEVER = Long.MIN_VALUE;

    /** A ticket must remain valid for at least this long to be used. */
    private static final long MIN_VALIDITY_MILLIS = 300;

    private final Map<String, Ticket> ticketsByWorker = new HashMap<>();
    private final Set<String> refusedWorkers = new HashSet<>();
    private long failedAt = NEVER;

    private record Ticket(String text, long validUntil) {}

    /** Returns a valid ticket for a worker, if there is one. */
    Optional<String> ticketFor(String worker, long now) {
        Ticket ticket = ticketsByWorker.get(worker);
        return ticket != null && ticket.validUntil() >= now + MIN_VALIDITY_MILLIS
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
    void applyAnswer(List<String> asked, Map<String, String> allowed, long validUntil) {
        failedAt = NEVER;
        for (String worker : asked) {
            String ticket = allowed.get(worker);
            if (ticket == null) {
                refusedWorkers.add(worker);
            } else {
                ticketsByWorker.put(worker, new Ticket(ticket, validUntil));
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

    /** Returns whether the last request failed. */
    boolean hasFailed() {
        return failedAt != NEVER;
    }

    /** Returns when the last request failed, in milliseconds; long ago if it was answered. */
    long failedAt() {
        return failedAt;
    }

    /** Discards a ticket that its worker refused. */
    void discardTicket(String worker) {
        ticketsByWorker.remove(worker);
    }

    /** Returns whether the waiting tasks need more tickets than workers that accept tasks have. */
    boolean needsTickets(Collection<WorkerRecord> pool, long waitingTasks, long now) {
        long usable =
                pool.stream()
                        .filter(w -> w.acceptsTasks(now) && ticketFor(w.id(), now).isPresent())
                        .count();
        long notRefused = pool.stream().filter(w -> !refusedWorkers.contains(w.id())).count();
        return usable < Math.min(waitingTasks, notRefused);
    }

    /** Forgets a worker that has left the fleet. */
    void forgetWorker(String worker) {
        ticketsByWorker.remove(worker);
        refusedWorkers.remove(worker);
    }

    /** Returns the workers of the next request: those with the most free cores. */
    List<String> nextWorkersToAsk(Collection<WorkerRecord> pool, long now) {
        return pool.stream()
                .filter(w -> w.acceptsTasks(now))
                .filter(w -> !refusedWorkers.contains(w.id()))
                .filter(w -> ticketFor(w.id(), now).isEmpty())
                .sorted(
                        Comparator.comparingLong(
                                        (WorkerRecord w) -> -w.freeResources().milliCores())
                                .thenComparing(WorkerRecord::id))
                .limit(MAX_WORKERS_PER_REQUEST)
                .map(WorkerRecord::id)
                .toList();
    }
}
