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

/** Acquires claims from the platform and delivers the result to each request. */
public final class ClaimClient {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(5);

    private final ClaimCommitter book;
    private final ClaimRowMapper rowMapper;
    private final Platform platform;
    private final Scheduler scheduler;
    private final Executor executor;
    private final Map<Long, Consumer<FlowEvent.ClaimAnswered>> callbacks = new HashMap<>();
    private long nextTicket = 1;
    private boolean tickScheduled;

    /**
     * Creates a claim client.
     *
     * @param thread runs tasks on the one thread that the client is confined to
     */
    public ClaimClient(
            ClaimCommitter book,
            ClaimRowMapper store,
            Platform platform,
            Scheduler scheduler,
            Executor thread) {
        this.book = Checks.notNull("book", book);
        this.rowMapper = Checks.notNull("store", store);
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.executor = Checks.notNull("thread", thread);
    }

    /** Sets how many live entry VMs share the transaction rate limit. */
    public void setLiveEntryVms(int count) {
        book.setLiveEntryVms(count);
    }

    /** Requests a claim; the callback receives the result exactly once. */
    public void acquire(
            ClaimKey key,
            String digest,
            Instant deadline,
            Consumer<FlowEvent.ClaimAnswered> onResult) {
        long ticket = nextTicket++;
        callbacks.put(ticket, onResult);
        execute(book.requestClaim(ticket, key, digest, deadline, scheduler.now()));
        scheduleTick();
    }

    /** Records the outcome of a claimed request, or releases the claim without an outcome. */
    public void finish(Claim claim, Optional<ClaimOutcome> outcome) {
        execute(book.complete(claim, outcome, scheduler.now()));
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
                case ClaimAction.CommitClaims c ->
                        commit(c.groupNumber(), rowMapper.transaction(c));
                case ClaimAction.CommitCompletions e ->
                        commit(e.groupNumber(), rowMapper.transaction(e));
                case ClaimAction.ReadClaims r -> read(r);
                case ClaimAction.Reply t -> deliverResult(t.correlationId(), t.answer(), t.claim());
            }
        }
    }

    private void deliverResult(long ticket, ClaimAnswer answer, Optional<Claim> claim) {
        Consumer<FlowEvent.ClaimAnswered> callback = callbacks.remove(ticket);
        if (callback != null) {
            callback.accept(new FlowEvent.ClaimAnswered(answer, claim));
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
                platform.read(rowMapper.rowKeys(action)),
                action.groupNumber(),
                rows ->
                        book.onClaimsRead(
                                action.groupNumber(),
                                rows.stream().map(ClaimRowMapper::parse).toList(),
                                scheduler.now()));
    }

    private <T> void whenDone(
            CompletionStage<T> stage, long group, Function<T, List<ClaimAction>> onSuccess) {
        stage.whenCompleteAsync(
                (value, failure) -> {
                    execute(
                            failure == null
                                    ? onSuccess.apply(value)
                                    : book.onNoReply(group, scheduler.now()));
                    scheduleTick();
                },
                executor);
    }
}
