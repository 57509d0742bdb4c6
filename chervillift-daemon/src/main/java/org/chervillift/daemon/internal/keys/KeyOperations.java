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
 * <p>A withdrawal is answered only when this process holds the new ring, when every process that
 * may rely on promises knows this one, and when no promise of this one is left.
 */
public final class KeyOperations {

    private static final int MOST_ROUNDS = 4;

    private final Platform platform;
    private final Scheduler scheduler;
    private final KeyFreshness freshness;
    private final KeyAuthenticator gate;

    /** Creates the operations of one process. */
    public KeyOperations(
            Platform platform, Scheduler scheduler, KeyFreshness freshness, KeyAuthenticator gate) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.freshness = Checks.notNull("freshness", freshness);
        this.gate = Checks.notNull("gate", gate);
    }

    /** Grants a key. */
    public CompletionStage<KeyOutcome> grant(KeyGrant grant) {
        Change change =
                new Change("grant-" + grant.id(), ring -> KeyRingChange.grant(ring, grant), false);
        return round(change, 1, false);
    }

    /** Withdraws a key; the stage completes when the operator may be told. */
    public CompletionStage<KeyOutcome> withdraw(String id) {
        Change change =
                new Change("withdraw-" + id, ring -> KeyRingChange.withdraw(ring, id), true);
        freshness.onWithdrawalStarted();
        return round(change, 1, false)
                .thenCompose(this::afterPromises)
                .whenComplete((outcome, fault) -> freshness.onWithdrawalFinished());
    }

    private CompletionStage<KeyOutcome> round(Change change, int round, boolean unsure) {
        Instant startedAt = scheduler.now();
        CompletableFuture<KeyOutcome> outcome = new CompletableFuture<>();
        platform.read(KeyRows.ALL)
                .thenApply(KeyRows::of)
                .whenComplete(
                        (read, fault) -> {
                            if (fault != null) {
                                outcome.complete(unavailable(fault, unsure));
                            } else {
                                noteRead(read, startedAt);
                                Stages.follow(decide(change, read, round, unsure), outcome);
                            }
                        });
        return outcome;
    }

    private void noteRead(KeyRows read, Instant startedAt) {
        gate.adoptIfNewer(read.ring());
        freshness.onStoreRead(startedAt, read.ring().version(), read.members());
    }

    private CompletionStage<KeyOutcome> decide(
            Change change, KeyRows read, int round, boolean unsure) {
        if (change.withdraws()
                && freshness.withdrawalReadiness(scheduler.now())
                        instanceof KeyFreshness.NotReady notReady) {
            return done(new KeyOutcome.NotReady(notReady.unconfirmedBy()));
        }
        return switch (change.step().apply(read.ring())) {
            case KeyRingChange.Unchanged a ->
                    done(new KeyOutcome.Done(read.ring().version(), unsure));
            case KeyRingChange.IdentifierTaken t -> done(new KeyOutcome.IdentifierTaken());
            case KeyRingChange.Write w -> write(change, read, w.next(), round, unsure);
        };
    }

    private CompletionStage<KeyOutcome> write(
            Change change, KeyRows read, KeyRing next, int round, boolean unsure) {
        if (round > MOST_ROUNDS) {
            String detail = "The platform took no write in " + MOST_ROUNDS + " rounds.";
            return done(new KeyOutcome.Unavailable(unsure, detail));
        }
        List<Transaction.Condition> conditions = new ArrayList<>();
        conditions.add(read.ringUnchanged());
        if (change.withdraws()) {
            // Whoever drops this process from the members later also reads the new ring.
            conditions.add(read.membersUnchanged());
        }
        Transaction transaction =
                new Transaction(
                        change.token() + "-" + next.version() + "-" + read.membersRow(),
                        conditions,
                        List.of(Transaction.Write.put(KeyRows.RING, Json.encode(next))));
        CompletableFuture<KeyOutcome> outcome = new CompletableFuture<>();
        platform.commit(transaction)
                .whenComplete(
                        (result, fault) -> {
                            if (fault == null && result instanceof CommitResult.Committed) {
                                gate.adoptIfNewer(next);
                                outcome.complete(new KeyOutcome.Done(next.version(), true));
                            } else {
                                boolean lost = unsure || fault != null;
                                Stages.follow(round(change, round + 1, lost), outcome);
                            }
                        });
        return outcome;
    }

    private CompletionStage<KeyOutcome> afterPromises(KeyOutcome outcome) {
        if (!(outcome instanceof KeyOutcome.Done)) {
            return done(outcome);
        }
        return switch (freshness.withdrawalReadiness(scheduler.now())) {
            case KeyFreshness.NotReady n ->
                    done(
                            new KeyOutcome.Unavailable(
                                    true, "This entry VM stops or lost its place."));
            case KeyFreshness.Ready r -> {
                Duration wait = Duration.between(scheduler.now(), r.acknowledgeFrom());
                yield wait.isPositive() ? later(outcome, wait) : done(outcome);
            }
        };
    }

    private CompletionStage<KeyOutcome> later(KeyOutcome outcome, Duration wait) {
        CompletableFuture<KeyOutcome> waiting = new CompletableFuture<>();
        scheduler.schedule(wait, () -> waiting.complete(outcome));
        return waiting;
    }

    private static KeyOutcome unavailable(Throwable fault, boolean unsure) {
        return new KeyOutcome.Unavailable(unsure, Stages.messageOf(fault));
    }

    private static CompletionStage<KeyOutcome> done(KeyOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    /**
     * A change of the ring.
     *
     * @param token starts the tokens of its transactions
     * @param step works out the next ring
     * @param withdraws whether it is a withdrawal
     */
    private record Change(String token, Function<KeyRing, KeyRingChange> step, boolean withdraws) {}
}
