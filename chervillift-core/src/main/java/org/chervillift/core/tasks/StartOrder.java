package org.chervillift.core.tasks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.shares.PoolShares;

/**
 * Hands out the steps of a pool in the order in which their tasks start.
 *
 * <p>Used when a customer sends several times its usual load: among steps of equal urgency, those
 * of customers within their share of the pool go before those of customers beyond it. Each start
 * counts at once, so that a customer that gets beyond its share in the course of a plan gives way.
 * Usage only grows during a plan, therefore each step is handed out twice at most.
 */
final class StartOrder {

    /**
     * Jobs that have begun may take a customer to twice its share: until they are finished, the
     * capacity that they have used so far is of no value to anybody.
     */
    private static final double SHARES_FOR_BEGUN_JOBS = 2;

    private final List<Candidate> ranked;
    private final Optional<PoolShares> shares;
    private final Deque<StepEntry> postponed = new ArrayDeque<>();
    private final Set<String> postponedCustomers = new HashSet<>();
    private int next;
    private int groupEnd;
    private boolean handsOutPostponed;

    /** A step with tasks that could start now, and its rank. */
    record Candidate(StepEntry step, JobRanking.Rank rank) {}

    /**
     * Creates an order.
     *
     * @param shares the shares of the customers; empty if these do not compete
     */
    StartOrder(List<Candidate> candidates, Optional<PoolShares> shares) {
        this.ranked = new ArrayList<>(candidates);
        this.ranked.sort(Comparator.comparing(Candidate::rank));
        this.shares = shares;
    }

    /** Returns the order of a pool, with the shares of its customers if these compete. */
    static StartOrder of(
            List<Candidate> candidates, List<WorkerRecord> pool, Manifest manifest, long now) {
        List<StepEntry> steps = candidates.stream().map(Candidate::step).toList();
        return new StartOrder(candidates, CustomerCompetition.sharesIn(steps, pool, manifest, now));
    }

    /** Returns the steps of the candidates of all pools. */
    static Set<StepEntry> stepsOf(Collection<List<Candidate>> candidates) {
        return candidates.stream()
                .flatMap(List::stream)
                .map(Candidate::step)
                .collect(Collectors.toSet());
    }

    /** Returns all steps by their rank. */
    List<StepEntry> steps() {
        return ranked.stream().map(Candidate::step).toList();
    }

    /** Returns the step whose tasks start next, if there is one. */
    Optional<StepEntry> next() {
        while (next < ranked.size() || !postponed.isEmpty()) {
            if (next == groupEnd && !postponed.isEmpty()) {
                handsOutPostponed = true;
                return Optional.of(postponed.poll());
            }
            if (next == groupEnd) {
                handsOutPostponed = false;
                groupEnd = endOfGroup(next);
            }
            StepEntry step = ranked.get(next++).step();
            if (!postponeIfBeyondShare(step)) {
                return Optional.of(step);
            }
        }
        return Optional.empty();
    }

    /** Returns the end of the steps that are as urgent as the one at a position. */
    private int endOfGroup(int first) {
        int end = first;
        while (end < ranked.size()
                && ranked.get(end).rank().isAsUrgentAs(ranked.get(first).rank())) {
            end++;
        }
        return end;
    }

    /**
     * Postpones a step if its customer is beyond its share and others of equal urgency have not had
     * their turn; returns whether it did.
     */
    boolean postponeIfBeyondShare(StepEntry step) {
        String customer = CustomerCompetition.customerOf(step);
        double multiple = step.job().hasRun() ? SHARES_FOR_BEGUN_JOBS : 1;
        boolean beyond = shares.filter(s -> s.isBeyond(customer, multiple)).isPresent();
        if (!beyond || handsOutPostponed) {
            return false;
        }
        postponed.add(step);
        postponedCustomers.add(customer);
        return true;
    }

    /** Records that tasks of a step start. */
    void recordStarts(StepEntry step, int count) {
        shares.ifPresent(
                s ->
                        s.add(
                                CustomerCompetition.customerOf(step),
                                step.spec().footprint().times(count)));
    }

    /** Returns the customers of which steps were postponed so far. */
    Set<String> postponedCustomers() {
        return postponedCustomers;
    }

    /** Returns the shares of the customers; empty if these do not compete. */
    Optional<PoolShares> shares() {
        return shares;
    }
}
