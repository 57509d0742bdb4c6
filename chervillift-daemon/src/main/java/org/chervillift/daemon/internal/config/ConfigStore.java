package org.chervillift.daemon.internal.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.PlatformException;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.config.ApplyDecision;
import org.chervillift.core.config.ApplyRequest;
import org.chervillift.core.config.ApplyRules;
import org.chervillift.core.config.ConfigChange;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.config.ConfigItem;
import org.chervillift.core.config.ConfigState;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;

/**
 * Reads configuration versions from the platform and writes new ones.
 *
 * <p>The content goes into an object first. Head and history then change in one transaction, under
 * the condition that the head is still the one that was read. So a version is there whole or not at
 * all.
 */
public final class ConfigStore {

    private static final int HISTORY_LENGTH = 50;
    private static final int MOST_ROUNDS = 3;

    private final Platform platform;
    private final ApplyRules rules;
    private final Supplier<Long> wallClockMillis;

    /** Creates a store over a platform. */
    public ConfigStore(Platform platform, ApplyRules rules, Supplier<Long> wallClockMillis) {
        this.platform = Checks.notNull("platform", platform);
        this.rules = Checks.notNull("rules", rules);
        this.wallClockMillis = Checks.notNull("wallClockMillis", wallClockMillis);
    }

    /** Returns the rules by which changes are judged. */
    public ApplyRules rules() {
        return rules;
    }

    /** Reads the accepted configuration and the recent history. */
    public CompletionStage<ConfigState> read() {
        return readStored().thenApply(Stored::state);
    }

    /** Reads the content of a version. */
    public CompletionStage<FleetConfig> content(ConfigHead head) {
        if (head.version() == 0) {
            return CompletableFuture.completedFuture(FleetConfig.EMPTY);
        }
        return platform.getObject(head.object())
                .thenApply(
                        text ->
                                text.map(t -> Json.decode(t, FleetConfig.class))
                                        .orElseThrow(() -> missing(head)));
    }

    /** Reads the content of an earlier version, if history still names it. */
    public CompletionStage<Optional<FleetConfig>> contentOf(long version) {
        if (version == 0) {
            return CompletableFuture.completedFuture(Optional.of(FleetConfig.EMPTY));
        }
        return platform.read(List.of(ConfigRows.history(version)))
                .thenCompose(
                        rows ->
                                rows.isEmpty()
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : content(head(rows.get(0))).thenApply(Optional::of));
    }

    /** Applies a sheet, or says why not. */
    public CompletionStage<ApplyOutcome> apply(ApplyRequest request, String operator) {
        return applyRound(new Attempt(request, operator, 1, false, List.of()))
                .exceptionally(e -> unavailable(e, false));
    }

    private CompletionStage<ApplyOutcome> applyRound(Attempt attempt) {
        return readStored()
                .thenCompose(stored -> decide(attempt, stored))
                .exceptionally(e -> unavailable(e, attempt.mayBeInForce()));
    }

    private CompletionStage<ApplyOutcome> decide(Attempt attempt, Stored stored) {
        ApplyRequest request = attempt.request();
        ApplyDecision decision = rules.decide(stored.state(), request, Optional.empty());
        if (decision instanceof ApplyDecision.Write write) {
            return write(attempt, stored, write);
        }
        if (attempt.mayBeInForce()) {
            Optional<ConfigHead> own = resultOf(attempt, stored.state());
            if (own.isPresent()) {
                return done(new ApplyOutcome.Applied(own.get(), attempt.sent()));
            }
        }
        if (decision instanceof ApplyDecision.BaseStale) {
            return contentOf(request.baseVersion())
                    .thenApply(base -> rules.decide(stored.state(), request, base))
                    .thenApply(ApplyOutcome.NotWritten::new);
        }
        return done(new ApplyOutcome.NotWritten(decision));
    }

    private CompletionStage<ApplyOutcome> write(
            Attempt attempt, Stored stored, ApplyDecision.Write write) {
        if (attempt.round() > MOST_ROUNDS) {
            String detail = "The platform took no write in " + MOST_ROUNDS + " rounds.";
            return done(new ApplyOutcome.Unavailable(attempt.mayBeInForce(), detail));
        }
        FleetConfig next = write.next();
        ConfigHead head =
                new ConfigHead(
                        next.version(),
                        ConfigRows.objectName(next.version(), write.digest()),
                        write.digest(),
                        attempt.operator(),
                        wallClockMillis.get());
        return poolsInUse(write.changes())
                .thenCompose(
                        inUse ->
                                inUse.isEmpty()
                                        ? store(attempt, stored, head, write)
                                        : done(new ApplyOutcome.PoolsInUse(inUse)));
    }

    private CompletionStage<ApplyOutcome> store(
            Attempt attempt, Stored stored, ConfigHead head, ApplyDecision.Write write) {
        List<RowKey> touched = FleetRowChanges.touched(write.changes());
        CompletionStage<List<Row>> rows =
                touched.isEmpty()
                        ? CompletableFuture.completedFuture(List.of())
                        : platform.read(touched);
        return platform.putObject(head.object(), Json.encode(write.next()))
                .thenCombine(rows, (ignored, read) -> read)
                .thenCompose(read -> commit(attempt, stored, head, write, read));
    }

    /** Returns the VMs that are in a removed pool, or on their way to it, and stay. */
    private CompletionStage<List<String>> poolsInUse(List<ConfigChange> changes) {
        Set<String> pools = removed(changes, ConfigItem.Kind.POOL);
        if (pools.isEmpty()) {
            return CompletableFuture.completedFuture(List.of());
        }
        Set<String> vms = removed(changes, ConfigItem.Kind.VM);
        return platform.scan(VmRow.TABLE)
                .thenApply(
                        rows ->
                                rows.stream()
                                        .map(r -> Json.decode(r.value(), VmRow.class))
                                        .filter(v -> !vms.contains(v.id()))
                                        .filter(
                                                v ->
                                                        pools.contains(v.pool())
                                                                || pools.contains(v.target()))
                                        .map(v -> v.id() + " in " + v.pool())
                                        .toList());
    }

    private static Set<String> removed(List<ConfigChange> changes, ConfigItem.Kind kind) {
        return changes.stream()
                .filter(c -> c instanceof ConfigChange.Removed && c.kind() == kind)
                .map(ConfigChange::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    private CompletionStage<ApplyOutcome> commit(
            Attempt attempt,
            Stored stored,
            ConfigHead head,
            ApplyDecision.Write write,
            List<Row> touched) {
        Transaction transaction = transaction(stored, head, write, touched);
        CompletableFuture<ApplyOutcome> outcome = new CompletableFuture<>();
        platform.commit(transaction)
                .whenComplete(
                        (result, fault) -> {
                            if (fault == null && result instanceof CommitResult.Committed) {
                                outcome.complete(new ApplyOutcome.Applied(head, write.changes()));
                            } else {
                                Attempt next = attempt.next(fault != null, write.changes());
                                Stages.follow(applyRound(next), outcome);
                            }
                        });
        return outcome;
    }

    private Transaction transaction(
            Stored stored, ConfigHead head, ApplyDecision.Write write, List<Row> touched) {
        RowKey history = ConfigRows.history(head.version());
        String value = Json.encode(head);
        Instant now = Instant.ofEpochMilli(head.appliedAtMillis());
        FleetRowChanges fleet = FleetRowChanges.of(write.changes(), write.next(), touched, now);
        List<Transaction.Condition> conditions = new ArrayList<>(fleet.conditions());
        conditions.add(new Transaction.Condition(ConfigRows.HEAD, stored.rowVersion()));
        conditions.add(new Transaction.Condition(history, 0));
        List<Transaction.Write> writes = new ArrayList<>(fleet.writes());
        writes.add(Transaction.Write.put(ConfigRows.HEAD, value));
        writes.add(Transaction.Write.put(history, value));
        return new Transaction(token(head, conditions), conditions, writes);
    }

    /**
     * Names a transaction by what it depends on and what it brings about.
     *
     * <p>After a lost reply the same token makes the platform answer with the first outcome. When a
     * row has changed meanwhile the token is another one, so an earlier conflict does not count.
     */
    private static String token(ConfigHead head, List<Transaction.Condition> conditions) {
        String depends = Sha256.hex(conditions.toString());
        return "config-" + head.version() + "-" + head.operator() + "-" + head.digest() + depends;
    }

    private static Optional<ConfigHead> resultOf(Attempt attempt, ConfigState state) {
        String digest = ConfigDigest.of(attempt.request().content());
        long base = attempt.request().baseVersion();
        return state.history().stream()
                .filter(h -> ConfigRows.isResultOf(h, base, digest))
                .filter(h -> h.operator().equals(attempt.operator()))
                .findFirst();
    }

    private CompletionStage<Stored> readStored() {
        return platform.read(List.of(ConfigRows.HEAD))
                .thenCompose(
                        rows -> {
                            if (rows.isEmpty()) {
                                return CompletableFuture.completedFuture(Stored.NOTHING);
                            }
                            Row row = rows.get(0);
                            ConfigHead head = head(row);
                            return readHistory(head)
                                    .thenCombine(
                                            content(head),
                                            (history, content) ->
                                                    new Stored(
                                                            row.version(),
                                                            new ConfigState(
                                                                    head, content, history)));
                        });
    }

    private CompletionStage<List<ConfigHead>> readHistory(ConfigHead head) {
        return platform.read(ConfigRows.historyUpTo(head.version(), HISTORY_LENGTH))
                .thenApply(rows -> rows.stream().map(ConfigStore::head).toList());
    }

    private static ConfigHead head(Row row) {
        return Json.decode(row.value(), ConfigHead.class);
    }

    private static PlatformException missing(ConfigHead head) {
        return new PlatformException("The object " + head.object() + " is missing.", null);
    }

    private static ApplyOutcome unavailable(Throwable fault, boolean mayBeInForce) {
        return new ApplyOutcome.Unavailable(mayBeInForce, Stages.messageOf(fault));
    }

    private static CompletionStage<ApplyOutcome> done(ApplyOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    /** The state of the store with the version of the head's row, 0 if there is no row. */
    private record Stored(long rowVersion, ConfigState state) {
        static final Stored NOTHING = new Stored(0, ConfigState.NONE);
    }

    /**
     * One of several rounds.
     *
     * @param mayBeInForce whether a reply was lost
     * @param sent what the last write changes
     */
    private record Attempt(
            ApplyRequest request,
            String operator,
            int round,
            boolean mayBeInForce,
            List<ConfigChange> sent) {

        Attempt next(boolean replyLost, List<ConfigChange> changes) {
            return new Attempt(request, operator, round + 1, mayBeInForce || replyLost, changes);
        }
    }
}
