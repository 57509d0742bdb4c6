package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What the advice service has said of one occurrence of a step. */
final class StepAdvice {

    private static final int MAX_WORKERS_PER_REQUEST = 12;

    /** A ticket must hold at least this long to be used. */
    private static final long MIN_VALIDITY_MILLIS = 300;

    private final Map<String, Ticket> ticketsByWorker = new HashMap<>();
    private final Set<String> refusedWorkers = new HashSet<>();

    private record Ticket(String text, long validUntil) {}

    /** Returns a ticket for a worker that can be used now. */
    Optional<String> ticketFor(String worker, long now) {
        Ticket ticket = ticketsByWorker.get(worker);
        return ticket != null && ticket.validUntil() >= now + MIN_VALIDITY_MILLIS
                ? Optional.of(ticket.text())
                : Optional.empty();
    }

    /** Takes an answer about some workers. */
    void applyAnswer(List<String> asked, Map<String, String> allowed, long validUntil) {
        for (String worker : asked) {
            String ticket = allowed.get(worker);
            if (ticket == null) {
                refusedWorkers.add(worker);
            } else {
                ticketsByWorker.put(worker, new Ticket(ticket, validUntil));
            }
        }
    }

    /** Forgets a ticket that its worker refused. */
    void discardTicket(String worker) {
        ticketsByWorker.remove(worker);
    }

    /** Returns whether more tickets are needed for a number of tasks that wait. */
    boolean needsTickets(Collection<WorkerRecord> pool, long waiting, long now) {
        long usable = pool.stream().filter(w -> ticketFor(w.id(), now).isPresent()).count();
        return usable < Math.min(waiting, pool.size() - refusedWorkers.size());
    }

    /** Returns the workers to ask about next: those with the most room. */
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
