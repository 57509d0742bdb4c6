package org.chervillift.daemon.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAction;
import org.chervillift.core.claims.ClaimAnswer;
import org.chervillift.core.claims.ClaimCommitter;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.requests.FlowEvent;
import org.chervillift.runtime.supervision.Scheduler;

/** Asks the table service for claims and tells each request the answer. */
public final class ClaimDesk {

    private static final Duration TICK = Duration.ofMillis(5);

    private final ClaimCommitter book;
    private final ClaimStore store;
    private final Platform platform;
    private final Scheduler scheduler;
    private final Executor thread;
    private final Map<Long, Consumer<FlowEvent.ClaimAnswered>> askers = new HashMap<>();
    private long nextTicket = 1;
    private boolean ticking;

    /**
     * Creates a desk.
     *
     * @param thread runs tasks on the one thread that the desk is confined to
     */
    public ClaimDesk(
            ClaimCommitter book,
            ClaimStore store,
            Platform platform,
            Scheduler scheduler,
            Executor thread) {
        this.book = Checks.notNull("book", book);
        this.store = Checks.notNull("store", store);
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.thread = Checks.notNull("thread", thread);
    }

    /** Takes over how many entry VMs share the rate of transactions. */
    public void setLiveEntryVms(int count) {
        book.setLiveEntryVms(count);
    }

    /** Asks for a claim; the answer is told once. */
    public void ask(
            ClaimKey key,
            String digest,
            Instant answerBy,
            Consumer<FlowEvent.ClaimAnswered> onAnswer) {
        long ticket = nextTicket++;
        askers.put(ticket, onAnswer);
        carryOut(book.requestClaim(ticket, key, digest, answerBy, scheduler.now()));
        keepTicking();
    }

    /** Records the end of a claimed request, or gives the claim back. */
    public void end(Claim claim, Optional<ClaimOutcome> outcome) {
        carryOut(book.complete(claim, outcome, scheduler.now()));
        keepTicking();
    }

    private void keepTicking() {
        if (!ticking && !book.isIdle()) {
            ticking = true;
            scheduler.schedule(TICK, this::tick);
        }
    }

    private void tick() {
        ticking = false;
        carryOut(book.tick(scheduler.now()));
        keepTicking();
    }

    private void carryOut(List<ClaimAction> actions) {
        for (ClaimAction a : actions) {
            switch (a) {
                case ClaimAction.CommitClaims c -> commit(c.groupNumber(), store.transaction(c));
                case ClaimAction.CommitCompletions e ->
                        commit(e.groupNumber(), store.transaction(e));
                case ClaimAction.ReadClaims r -> read(r);
                case ClaimAction.Reply t -> tell(t.correlationId(), t.answer(), t.claim());
            }
        }
    }

    private void tell(long ticket, ClaimAnswer answer, Optional<Claim> claim) {
        Consumer<FlowEvent.ClaimAnswered> asker = askers.remove(ticket);
        if (asker != null) {
            asker.accept(new FlowEvent.ClaimAnswered(answer, claim));
        }
    }

    private void commit(long group, Transaction transaction) {
        whenDone(
                platform.commit(transaction),
                group,
                result ->
                        switch (result) {
                            case CommitResult.Committed c ->
                                    book.onCommitted(group, scheduler.now());
                            case CommitResult.Conflict c -> book.onConflict(group, scheduler.now());
                        });
    }

    private void read(ClaimAction.ReadClaims action) {
        whenDone(
                platform.read(store.keys(action)),
                action.groupNumber(),
                rows ->
                        book.onClaimsRead(
                                action.groupNumber(),
                                rows.stream().map(ClaimStore::parse).toList(),
                                scheduler.now()));
    }

    private <T> void whenDone(
            CompletionStage<T> stage, long group, Function<T, List<ClaimAction>> then) {
        stage.whenCompleteAsync(
                (value, fault) -> {
                    carryOut(
                            fault == null
                                    ? then.apply(value)
                                    : book.onNoReply(group, scheduler.now()));
                    keepTicking();
                },
                thread);
    }
}
