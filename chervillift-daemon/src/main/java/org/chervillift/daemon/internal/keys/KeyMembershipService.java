package org.chervillift.daemon.internal.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyMembers;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.keys.FreshnessRules;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.core.keys.KeyMembership;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Keeps this process among the members that may confirm a withdrawal: joins on start, renews the
 * membership periodically and leaves on stop.
 *
 * <p>A write whose reply was lost counts as failed: the process then joins again.
 */
public final class KeyMembershipService implements Part {

    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(4);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final int RENEWALS_PER_VALIDITY_PERIOD = 4;

    private final String self;
    private final String dataCentre;
    private final Platform platform;
    private final Scheduler scheduler;
    private final KeyFreshness freshness;
    private final FreshnessRules rules;
    private final RandomGenerator random;
    private long joinedVersion;
    private boolean running;

    /** Creates the service; it writes nothing until it is started. */
    public KeyMembershipService(
            String self,
            String dataCentre,
            Platform platform,
            Scheduler scheduler,
            KeyFreshness freshness,
            FreshnessRules rules,
            RandomGenerator random) {
        this.self = Checks.notBlank("self", self);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.freshness = Checks.notNull("freshness", freshness);
        this.rules = Checks.notNull("rules", rules);
        this.random = Checks.notNull("random", random);
    }

    @Override
    public String name() {
        return "key-membership";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        joinedVersion = 0;
        refreshMembership();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        freshness.resign();
        return platform.read(KeyRows.ALL_ROWS)
                .thenCompose(
                        rows -> {
                            KeyRows read = KeyRows.decode(rows);
                            boolean member = read.members().members().containsKey(self);
                            return member
                                    ? write(read, KeyMembership.leave(read.members(), self))
                                    : CompletableFuture.completedFuture(true);
                        })
                .handle((ignored, failure) -> null);
    }

    private void refreshMembership() {
        if (!running) {
            return;
        }
        Instant startedAt = scheduler.now();
        platform.read(KeyRows.ALL_ROWS)
                .thenCompose(rows -> joinOrRenew(KeyRows.decode(rows), startedAt))
                .whenComplete(
                        (committed, failure) -> {
                            boolean written = failure == null && committed;
                            scheduler.schedule(
                                    written ? renewalInterval() : retryDelay(),
                                    this::refreshMembership);
                        });
    }

    private CompletionStage<Boolean> joinOrRenew(KeyRows read, Instant startedAt) {
        Instant now = scheduler.now();
        KeyMembers.Member own = read.members().members().get(self);
        boolean isRenewal =
                own != null && joinedVersion > 0 && own.joinedVersion() == joinedVersion;
        KeyMembers next =
                isRenewal
                        ? KeyMembership.renew(read.members(), self, rules, now)
                        : KeyMembership.join(read.members(), self, dataCentre, rules, now);
        return write(read, next)
                .thenApply(
                        committed -> {
                            if (committed && isRenewal) {
                                freshness.onRenewed(next, startedAt);
                            } else if (committed) {
                                joinedVersion = next.version();
                                freshness.onJoined(next, startedAt);
                            }
                            return committed;
                        });
    }

    private CompletionStage<Boolean> write(KeyRows read, KeyMembers next) {
        String token = "members-" + self + "-" + next.version() + "-" + random.nextLong();
        Transaction transaction =
                new Transaction(
                        token,
                        List.of(read.membersUnchanged()),
                        List.of(Transaction.Write.put(KeyRows.MEMBERS_ROW, Json.encode(next))));
        return platform.commit(transaction).thenApply(r -> r instanceof CommitResult.Committed);
    }

    private Duration renewalInterval() {
        return rules.membershipLease().dividedBy(RENEWALS_PER_VALIDITY_PERIOD);
    }

    private Duration retryDelay() {
        long maxMillis = MAX_RETRY_DELAY.toMillis();
        return Duration.ofMillis(random.nextLong(MIN_RETRY_DELAY.toMillis(), maxMillis));
    }
}
