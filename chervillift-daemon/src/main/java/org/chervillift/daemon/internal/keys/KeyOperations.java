package org.chervillift.daemon.internal.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.keys.KeyAuthenticator;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.core.keys.KeyRingChange;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Grants and withdraws keys for operators.
 *
 * <p>A withdrawal is confirmed to the operator only when this process holds the new key ring, every
 * process that may rely on freshness promises knows this process, and all promises that this
 * process has given have expired.
 */
public final class KeyOperations {

    private static final int MAX_ATTEMPTS = 4;

    private final Platform platform;
    private final Scheduler scheduler;
    private final KeyFreshness freshness;
    private final KeyAuthenticator gate;

    /** Creates the key operations of one process. */
    public KeyOperations(
            Platform platform, Scheduler scheduler, KeyFreshness freshness, KeyAuthenticator gate) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.freshness = Checks.notNull("freshness", freshness);
        this.gate = Checks.notNull("gate", gate);
    }

    /** Adds a key to the key ring. */
    public CompletionStage<KeyChangeOutcome> grant(KeyGrant grant) {
        Change change =
                new Change("grant-" + grant.id(), ring -> KeyRingChange.grant(ring, grant), false);
        return attempt(change, 1, false);
    }

    /** Withdraws a key; the stage completes when the withdrawal may be confirmed. */
    public CompletionStage<KeyChangeOutcome> withdraw(String id) {
        Change change =
                new Change("withdraw-" + id, ring -> KeyRingChange.withdraw(ring, id), true);
        freshness.onWithdrawalStarted();
        return attempt(change, 1, false)
                .thenCompose(this::awaitPromises)
                .whenComplete((outcome, failure) -> freshness.onWithdrawalFinished());
    }

    private CompletionStage<KeyChangeOutcome> attempt(
            Change change, int attemptNumber, boolean mayHaveTakenEffect) {
        Instant startedAt = scheduler.now();
        CompletableFuture<KeyChangeOutcome> outcome = new CompletableFuture<>();
        platform.read(KeyRows.ALL_ROWS)
                .thenApply(KeyRows::decode)
                .whenComplete(
                        (read, failure) -> {
                            if (failure != null) {
                                outcome.complete(unavailable(failure, mayHaveTakenEffect));
                            } else {
                                recordRead(read, startedAt);
                                Stages.follow(
                                        applyChange(
                                                change, read, attemptNumber, mayHaveTakenEffect),
                                        outcome);
                            }
                        });
        return outcome;
    }

    private void recordRead(KeyRows read, Instant startedAt) {
        gate.adoptIfNewer(read.ring());
        freshness.onStoreRead(startedAt, read.ring().version(), read.members());
    }

    private CompletionStage<KeyChangeOutcome> applyChange(
            Change change, KeyRows read, int attemptNumber, boolean mayHaveTakenEffect) {
        if (change.isWithdrawal()
                && freshness.withdrawalReadiness(scheduler.now())
                        instanceof KeyFreshness.NotReady notReady) {
            return completed(new KeyChangeOutcome.NotReady(notReady.unconfirmedBy()));
        }
        return switch (change.transition().apply(read.ring())) {
            case KeyRingChange.Unchanged a ->
                    completed(
                            new KeyChangeOutcome.Succeeded(
                                    read.ring().version(), mayHaveTakenEffect));
            case KeyRingChange.IdentifierTaken t ->
                    completed(new KeyChangeOutcome.IdentifierTaken());
            case KeyRingChange.Write w ->
                    write(change, read, w.next(), attemptNumber, mayHaveTakenEffect);
        };
    }

    private CompletionStage<KeyChangeOutcome> write(
            Change change,
            KeyRows read,
            KeyRing next,
            int attemptNumber,
            boolean mayHaveTakenEffect) {
        if (attemptNumber > MAX_ATTEMPTS) {
            String detail = "The platform committed no write in " + MAX_ATTEMPTS + " attempts.";
            return completed(new KeyChangeOutcome.Unavailable(mayHaveTakenEffect, detail));
        }
        List<Transaction.Condition> conditions = new ArrayList<>();
        conditions.add(read.ringUnchanged());
        if (change.isWithdrawal()) {
            // A process that later removes this one from the members then also reads the new ring.
            conditions.add(read.membersUnchanged());
        }
        Transaction transaction =
                new Transaction(
                        change.tokenPrefix()
                                + "-"
                                + next.version()
                                + "-"
                                + read.membersRowVersion(),
                        conditions,
                        List.of(Transaction.Write.put(KeyRows.RING_ROW, Json.encode(next))));
        CompletableFuture<KeyChangeOutcome> outcome = new CompletableFuture<>();
        platform.commit(transaction)
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null && result instanceof CommitResult.Committed) {
                                gate.adoptIfNewer(next);
                                outcome.complete(
                                        new KeyChangeOutcome.Succeeded(next.version(), true));
                            } else {
                                boolean outcomeUnknown = mayHaveTakenEffect || failure != null;
                                Stages.follow(
                                        attempt(change, attemptNumber + 1, outcomeUnknown),
                                        outcome);
                            }
                        });
        return outcome;
    }

    private CompletionStage<KeyChangeOutcome> awaitPromises(KeyChangeOutcome outcome) {
        if (!(outcome instanceof KeyChangeOutcome.Succeeded)) {
            return completed(outcome);
        }
        return switch (freshness.withdrawalReadiness(scheduler.now())) {
            case KeyFreshness.NotReady n ->
                    completed(
                            new KeyChangeOutcome.Unavailable(
                                    true, "This entry VM is stopping or is no longer a member."));
            case KeyFreshness.Ready r -> {
                Duration wait = Duration.between(scheduler.now(), r.acknowledgeFrom());
                yield wait.isPositive() ? completeAfter(outcome, wait) : completed(outcome);
            }
        };
    }

    private CompletionStage<KeyChangeOutcome> completeAfter(
            KeyChangeOutcome outcome, Duration wait) {
        CompletableFuture<KeyChangeOutcome> waiting = new CompletableFuture<>();
        scheduler.schedule(wait, () -> waiting.complete(outcome));
        return waiting;
    }

    private static KeyChangeOutcome unavailable(Throwable failure, boolean mayHaveTakenEffect) {
        return new KeyChangeOutcome.Unavailable(mayHaveTakenEffect, Stages.messageOf(failure));
    }

    private static CompletionStage<KeyChangeOutcome> completed(KeyChangeOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    /**
     * A requested change of the key ring.
     *
     * @param tokenPrefix the prefix of the tokens of its transactions
     * @param transition computes the next ring from the current one
     * @param isWithdrawal whether the change withdraws a key
     */
    private record Change(
            String tokenPrefix,
            Function<KeyRing, KeyRingChange> transition,
            boolean isWithdrawal) {}
}
