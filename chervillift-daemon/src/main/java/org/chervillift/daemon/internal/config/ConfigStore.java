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
 * Reads configuration versions from the platform and writes new versions.
 *
 * <p>The content is put into an object first. One transaction then writes the head and the history
 * row, on the condition that the head has not changed since it was read. So a version is stored
 * completely or not at all.
 */
public final class ConfigStore {

    private static final int MAX_HISTORY_VERSIONS = 50;
    private static final int MAX_ATTEMPTS = 3;

    private final Platform platform;
    private final ApplyRules rules;
    private final Supplier<Long> wallClockMillis;

    /** Creates a store on a platform. */
    public ConfigStore(Platform platform, ApplyRules rules, Supplier<Long> wallClockMillis) {
        this.platform = Checks.notNull("platform", platform);
        this.rules = Checks.notNull("rules", rules);
        this.wallClockMillis = Checks.notNull("wallClockMillis", wallClockMillis);
    }

    /** Returns the rules that decide on apply requests. */
    public ApplyRules rules() {
        return rules;
    }

    /** Reads the current configuration and the recent history. */
    public CompletionStage<ConfigState> read() {
        return readStoredState().thenApply(StoredState::state);
    }

    /** Reads the content of a version. */
    public CompletionStage<FleetConfig> readContent(ConfigHead head) {
        if (head.version() == 0) {
            return CompletableFuture.completedFuture(FleetConfig.EMPTY);
        }
        return platform.getObject(head.object())
                .thenApply(
                        text ->
                                text.map(t -> Json.decode(t, FleetConfig.class))
                                        .orElseThrow(() -> missingObject(head)));
    }

    /** Reads the content of a version; empty if the history has no row for it. */
    public CompletionStage<Optional<FleetConfig>> readContentOfVersion(long version) {
        if (version == 0) {
            return CompletableFuture.completedFuture(Optional.of(FleetConfig.EMPTY));
        }
        return platform.read(List.of(ConfigRows.historyKey(version)))
                .thenCompose(
                        rows ->
                                rows.isEmpty()
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : readContent(decodeHead(rows.get(0)))
                                                .thenApply(Optional::of));
    }

    /** Applies a sheet, or returns the reason why it was not applied. */
    public CompletionStage<ApplyOutcome> apply(ApplyRequest request, String operator) {
        return runAttempt(new Attempt(request, operator, 1, false, List.of()))
                .exceptionally(e -> unavailable(e, false));
    }

    private CompletionStage<ApplyOutcome> runAttempt(Attempt attempt) {
        return readStoredState()
                .thenCompose(stored -> decide(attempt, stored))
                .exceptionally(e -> unavailable(e, attempt.mayHaveTakenEffect()));
    }

    private CompletionStage<ApplyOutcome> decide(Attempt attempt, StoredState stored) {
        ApplyRequest request = attempt.request();
        ApplyDecision decision = rules.decide(stored.state(), request, Optional.empty());
        if (decision instanceof ApplyDecision.Write write) {
            return write(attempt, stored, write);
        }
        if (attempt.mayHaveTakenEffect()) {
            Optional<ConfigHead> ownVersion = findOwnVersion(attempt, stored.state());
            if (ownVersion.isPresent()) {
                return completed(new ApplyOutcome.Applied(ownVersion.get(), attempt.lastChanges()));
            }
        }
        if (decision instanceof ApplyDecision.BaseStale) {
            return readContentOfVersion(request.baseVersion())
                    .thenApply(base -> rules.decide(stored.state(), request, base))
                    .thenApply(ApplyOutcome.NotWritten::new);
        }
        return completed(new ApplyOutcome.NotWritten(decision));
    }

    private CompletionStage<ApplyOutcome> write(
            Attempt attempt, StoredState stored, ApplyDecision.Write write) {
        if (attempt.number() > MAX_ATTEMPTS) {
            String detail = "No write to the platform succeeded in " + MAX_ATTEMPTS + " attempts.";
            return completed(new ApplyOutcome.Unavailable(attempt.mayHaveTakenEffect(), detail));
        }
        FleetConfig next = write.next();
        ConfigHead head =
                new ConfigHead(
                        next.version(),
                        ConfigRows.objectName(next.version(), write.digest()),
                        write.digest(),
                        attempt.operator(),
                        wallClockMillis.get());
        return readVmsInRemovedPools(write.changes())
                .thenCompose(
                        inUse ->
                                inUse.isEmpty()
                                        ? putContentAndCommit(attempt, stored, head, write)
                                        : completed(new ApplyOutcome.PoolsInUse(inUse)));
    }

    private CompletionStage<ApplyOutcome> putContentAndCommit(
            Attempt attempt, StoredState stored, ConfigHead head, ApplyDecision.Write write) {
        List<RowKey> fleetKeys = FleetRowChanges.affectedKeys(write.changes());
        CompletionStage<List<Row>> fleetRows =
                fleetKeys.isEmpty()
                        ? CompletableFuture.completedFuture(List.of())
                        : platform.read(fleetKeys);
        return platform.putObject(head.object(), Json.encode(write.next()))
                .thenCombine(fleetRows, (ignored, rows) -> rows)
                .thenCompose(rows -> commit(attempt, stored, head, write, rows));
    }

    /** Returns the VMs that the change keeps and that are in a removed pool or moving to one. */
    private CompletionStage<List<String>> readVmsInRemovedPools(List<ConfigChange> changes) {
        Set<String> removedPools = removedNames(changes, ConfigItem.Kind.POOL);
        if (removedPools.isEmpty()) {
            return CompletableFuture.completedFuture(List.of());
        }
        Set<String> removedVms = removedNames(changes, ConfigItem.Kind.VM);
        return platform.scan(VmRow.TABLE)
                .thenApply(
                        rows ->
                                rows.stream()
                                        .map(r -> Json.decode(r.value(), VmRow.class))
                                        .filter(v -> !removedVms.contains(v.id()))
                                        .filter(
                                                v ->
                                                        removedPools.contains(v.pool())
                                                                || removedPools.contains(
                                                                        v.target()))
                                        .map(v -> v.id() + " in " + v.pool())
                                        .toList());
    }

    private static Set<String> removedNames(List<ConfigChange> changes, ConfigItem.Kind kind) {
        return changes.stream()
                .filter(c -> c instanceof ConfigChange.Removed && c.kind() == kind)
                .map(ConfigChange::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    private CompletionStage<ApplyOutcome> commit(
            Attempt attempt,
            StoredState stored,
            ConfigHead head,
            ApplyDecision.Write write,
            List<Row> fleetRows) {
        Transaction transaction = buildTransaction(stored, head, write, fleetRows);
        CompletableFuture<ApplyOutcome> outcome = new CompletableFuture<>();
        platform.commit(transaction)
                .whenComplete(
                        (result, fault) -> {
                            if (fault == null && result instanceof CommitResult.Committed) {
                                outcome.complete(new ApplyOutcome.Applied(head, write.changes()));
                            } else {
                                Attempt next = attempt.next(fault != null, write.changes());
                                Stages.follow(runAttempt(next), outcome);
                            }
                        });
        return outcome;
    }

    private Transaction buildTransaction(
            StoredState stored, ConfigHead head, ApplyDecision.Write write, List<Row> fleetRows) {
        RowKey historyKey = ConfigRows.historyKey(head.version());
        String value = Json.encode(head);
        Instant now = Instant.ofEpochMilli(head.appliedAtMillis());
        FleetRowChanges fleetChanges =
                FleetRowChanges.of(write.changes(), write.next(), fleetRows, now);
        List<Transaction.Condition> conditions = new ArrayList<>(fleetChanges.conditions());
        conditions.add(new Transaction.Condition(ConfigRows.HEAD_KEY, stored.rowVersion()));
        conditions.add(new Transaction.Condition(historyKey, 0));
        List<Transaction.Write> writes = new ArrayList<>(fleetChanges.writes());
        writes.add(Transaction.Write.put(ConfigRows.HEAD_KEY, value));
        writes.add(Transaction.Write.put(historyKey, value));
        return new Transaction(idempotencyToken(head, conditions), conditions, writes);
    }

    /**
     * Returns an idempotency token derived from the new head and the conditions.
     *
     * <p>If a reply was lost, a retry has the same token, and the platform answers with the outcome
     * of the first transaction. If a row has changed in the meantime, the conditions and thus the
     * token differ, so the platform does not repeat an earlier conflict.
     */
    private static String idempotencyToken(
            ConfigHead head, List<Transaction.Condition> conditions) {
        String conditionsHash = Sha256.hex(conditions.toString());
        return "config-"
                + head.version()
                + "-"
                + head.operator()
                + "-"
                + head.digest()
                + conditionsHash;
    }

    private static Optional<ConfigHead> findOwnVersion(Attempt attempt, ConfigState state) {
        String digest = ConfigDigest.of(attempt.request().content());
        long baseVersion = attempt.request().baseVersion();
        return state.history().stream()
                .filter(h -> ConfigRows.isResultOf(h, baseVersion, digest))
                .filter(h -> h.operator().equals(attempt.operator()))
                .findFirst();
    }

    private CompletionStage<StoredState> readStoredState() {
        return platform.read(List.of(ConfigRows.HEAD_KEY))
                .thenCompose(
                        rows -> {
                            if (rows.isEmpty()) {
                                return CompletableFuture.completedFuture(StoredState.EMPTY);
                            }
                            Row row = rows.get(0);
                            ConfigHead head = decodeHead(row);
                            return readHistory(head)
                                    .thenCombine(
                                            readContent(head),
                                            (history, content) ->
                                                    new StoredState(
                                                            row.version(),
                                                            new ConfigState(
                                                                    head, content, history)));
                        });
    }

    private CompletionStage<List<ConfigHead>> readHistory(ConfigHead head) {
        return platform.read(ConfigRows.historyKeysUpTo(head.version(), MAX_HISTORY_VERSIONS))
                .thenApply(rows -> rows.stream().map(ConfigStore::decodeHead).toList());
    }

    private static ConfigHead decodeHead(Row row) {
        return Json.decode(row.value(), ConfigHead.class);
    }

    private static PlatformException missingObject(ConfigHead head) {
        return new PlatformException("The object " + head.object() + " is missing.", null);
    }

    private static ApplyOutcome unavailable(Throwable fault, boolean mayHaveTakenEffect) {
        return new ApplyOutcome.Unavailable(mayHaveTakenEffect, Stages.messageOf(fault));
    }

    private static CompletionStage<ApplyOutcome> completed(ApplyOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    /**
     * The stored configuration and the version of the head's row, which is 0 if there is no row.
     */
    private record StoredState(long rowVersion, ConfigState state) {
        static final StoredState EMPTY = new StoredState(0, ConfigState.NONE);
    }

    /**
     * One attempt to apply a sheet; conflicts and failures lead to further attempts.
     *
     * @param number the number of the attempt, from 1
     * @param mayHaveTakenEffect whether the reply to an earlier commit was lost
     * @param lastChanges the changes of the last commit that was sent
     */
    private record Attempt(
            ApplyRequest request,
            String operator,
            int number,
            boolean mayHaveTakenEffect,
            List<ConfigChange> lastChanges) {

        Attempt next(boolean replyLost, List<ConfigChange> changes) {
            return new Attempt(
                    request, operator, number + 1, mayHaveTakenEffect || replyLost, changes);
        }
    }
}
