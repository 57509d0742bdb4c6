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
import org.chervillift.core.claims.ClaimBook;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.Outcome;
import org.chervillift.core.requests.FlowEvent;
import org.chervillift.runtime.supervision.Scheduler;

/** Asks the table service for claims and tells each request the answer. */
public final class ClaimClient {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(5);

    private final ClaimBook book;
    private final ClaimRowMapper store;
    private final Platform platform;
    private final Scheduler scheduler;
    private final Executor executor;
    private final Map<Long, Consumer<FlowEvent.ClaimAnswered>> callbacks = new HashMap<>();
    private long nextTicket = 1;
    private boolean tickScheduled;

    /**
     * Creates a desk.
     *
     * @param thread runs tasks on the one thread that the desk is confined to
     */
    public ClaimClient(
            ClaimBook book,
            ClaimRowMapper store,
            Platform platform,
            Scheduler scheduler,
            Executor thread) {
        this.book = Checks.notNull("book", book);
        this.store = Checks.notNull("store", store);
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.executor = Checks.notNull("thread", thread);
    }

    /** Takes over how many entry VMs share the rate of transactions. */
    public void setLiveEntryVms(int count) {
        book.setLiveEntryVms(count);
    }

    /** Asks for a claim; the answer is told once. */
    public void acquire(
            ClaimKey key,
            String digest,
            Instant answerBy,
            Consumer<FlowEvent.ClaimAnswered> onAnswer) {
        long ticket = nextTicket++;
        callbacks.put(ticket, onAnswer);
        execute(book.ask(ticket, key, digest, answerBy, scheduler.now()));
        scheduleTick();
    }

    /** Records the end of a claimed request, or gives the claim back. */
    public void finish(Claim claim, Optional<Outcome> outcome) {
        execute(book.end(claim, outcome, scheduler.now()));
        scheduleTick();
    }

    private void scheduleTick() {
        if (!tickScheduled && !book.isIdle()) {
            tickScheduled = true;
            scheduler.schedule(TICK_INTERVAL, this::tick);
        }
    }

    private void tick() {
        tickScheduled = false;
        execute(book.tick(scheduler.now()));
        scheduleTick();
    }

    private void execute(List<ClaimAction> actions) {
        for (ClaimAction a : actions) {
            switch (a) {
                case ClaimAction.CommitClaims c -> commit(c.group(), store.transaction(c));
                case ClaimAction.CommitEnds e -> commit(e.group(), store.transaction(e));
                case ClaimAction.ReadClaims r -> read(r);
                case ClaimAction.Tell t -> deliverResult(t.ticket(), t.answer(), t.claim());
            }
        }
    }

    private void deliverResult(long ticket, ClaimAnswer answer, Optional<Claim> claim) {
        Consumer<FlowEvent.ClaimAnswered> asker = callbacks.remove(ticket);
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
                            case CommitResult.Committed c -> book.committed(group, scheduler.now());
                            case CommitResult.Conflict c -> book.conflict(group, scheduler.now());
                        });
    }

    private void read(ClaimAction.ReadClaims action) {
        whenDone(
                platform.read(store.rowKeys(action)),
                action.group(),
                rows ->
                        book.read(
                                action.group(),
                                rows.stream().map(ClaimRowMapper::parse).toList(),
                                scheduler.now()));
    }

    private <T> void whenDone(
            CompletionStage<T> stage, long group, Function<T, List<ClaimAction>> then) {
        stage.whenCompleteAsync(
                (value, fault) -> {
                    execute(
                            fault == null
                                    ? then.apply(value)
                                    : book.failed(group, scheduler.now()));
                    scheduleTick();
                },
                executor);
    }
}
