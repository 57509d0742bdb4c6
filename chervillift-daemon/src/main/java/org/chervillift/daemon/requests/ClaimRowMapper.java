package org.chervillift.daemon.requests;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAction;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.claims.StoredClaim;

/**
 * Maps claims to table rows and transactions.
 *
 * <p>Each hour has its own tables, so that old claims are found without reading new ones. A claim
 * is written on the condition that the tables of its hour, the previous and the next hour do not
 * contain its key.
 */
public final class ClaimRowMapper {

    /** The period that one set of tables covers. */
    public static final Duration TABLE_WINDOW = Duration.ofHours(1);

    /** The number of tables of one window. */
    public static final int SHARDS_PER_WINDOW = 16;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String tokenPrefix;

    /**
     * Creates the mapper of one process.
     *
     * @param incarnation an identifier of this process run, unique among all processes and restarts
     */
    public ClaimRowMapper(String incarnation) {
        this.tokenPrefix = "claims/" + Checks.notBlank("incarnation", incarnation) + "/";
    }

    /** Returns the transaction that writes a group of claims. */
    public Transaction transaction(ClaimAction.CommitClaims action) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (Claim c : action.claims()) {
            rowKeys(c).forEach(k -> conditions.add(new Transaction.Condition(k, 0)));
            writes.add(Transaction.Write.put(rowKey(c), toJson(c, Optional.empty())));
        }
        return new Transaction(tokenPrefix + action.groupNumber(), conditions, writes);
    }

    /** Returns the transaction that writes a group of outcomes, or deletes claims without one. */
    public Transaction transaction(ClaimAction.CommitCompletions action) {
        List<Transaction.Write> writes =
                action.completions().stream()
                        .map(
                                e ->
                                        new Transaction.Write(
                                                rowKey(e.claim()),
                                                e.outcome()
                                                        .map(
                                                                o ->
                                                                        toJson(
                                                                                e.claim(),
                                                                                Optional.of(o)))))
                        .toList();
        return new Transaction(tokenPrefix + action.groupNumber(), List.of(), writes);
    }

    /** Returns the keys of all rows that may hold the claims of a group. */
    public List<RowKey> rowKeys(ClaimAction.ReadClaims action) {
        return action.claims().stream().flatMap(c -> rowKeys(c).stream()).toList();
    }

    /** Returns the name of a shard's table in the window that contains a time. */
    public static String tableName(Instant time, int shard) {
        return tableName(time.getEpochSecond() / TABLE_WINDOW.toSeconds(), shard);
    }

    private static String tableName(long window, int shard) {
        return String.format(Locale.ROOT, "claims-%d-%02d", window, shard);
    }

    private static RowKey rowKey(Claim claim) {
        return rowKeys(claim).get(1);
    }

    private static List<RowKey> rowKeys(Claim claim) {
        byte[] hash = sha256(claim.key().uniqueText());
        int shard = Math.floorMod(hash[0], SHARDS_PER_WINDOW);
        String name = HexFormat.of().formatHex(hash);
        long window = claim.at().getEpochSecond() / TABLE_WINDOW.toSeconds();
        return List.of(
                new RowKey(tableName(window - 1, shard), name),
                new RowKey(tableName(window, shard), name),
                new RowKey(tableName(window + 1, shard), name));
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "SHA-256 is not available.", e);
        }
    }

    private static String toJson(Claim claim, Optional<ClaimOutcome> outcome) {
        ClaimRow row =
                new ClaimRow(
                        claim.key().scope(),
                        claim.key().identifier(),
                        claim.digest(),
                        claim.entryVm(),
                        claim.at().toEpochMilli(),
                        outcome.map(OutcomeRow::of).orElse(null));
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new ChervilliftException(
                    ErrorCode.INTERNAL, "A claim cannot be encoded as JSON.", e);
        }
    }

    /**
     * Decodes a claim from a row.
     *
     * @throws ChervilliftException if the row is not a valid claim
     */
    public static StoredClaim parse(Row row) {
        try {
            ClaimRow r = JSON.readValue(row.value(), ClaimRow.class);
            Claim claim =
                    new Claim(
                            new ClaimKey(r.scope(), r.identifier()),
                            r.digest(),
                            r.entryVm(),
                            Instant.ofEpochMilli(r.atMillis()));
            return new StoredClaim(
                    claim, Optional.ofNullable(r.outcome()).map(OutcomeRow::toOutcome));
        } catch (JsonProcessingException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "A claim row is not valid JSON.", e);
        }
    }

    /** The JSON form of a claim. */
    record ClaimRow(
            String scope,
            String identifier,
            String digest,
            String entryVm,
            long atMillis,
            OutcomeRow outcome) {}

    /** The JSON form of an outcome. */
    record OutcomeRow(String kind, int status, List<String> headers, String body, String code) {

        private static final String ANSWERED = "answered";
        private static final String NOT_KEPT = "answer-not-kept";
        private static final String UNKNOWN = "unknown";

        static OutcomeRow of(ClaimOutcome outcome) {
            return switch (outcome) {
                case ClaimOutcome.Answered a ->
                        new OutcomeRow(ANSWERED, a.status(), a.headers(), a.bodyBase64(), null);
                case ClaimOutcome.AnswerNotStored n ->
                        new OutcomeRow(NOT_KEPT, n.status(), null, null, null);
                case ClaimOutcome.Unknown u ->
                        new OutcomeRow(UNKNOWN, 0, null, null, u.code().name());
            };
        }

        ClaimOutcome toOutcome() {
            return switch (kind) {
                case ANSWERED -> new ClaimOutcome.Answered(status, headers, body);
                case NOT_KEPT -> new ClaimOutcome.AnswerNotStored(status);
                case UNKNOWN -> new ClaimOutcome.Unknown(ErrorCode.valueOf(code));
                default ->
                        throw new ChervilliftException(
                                ErrorCode.INTERNAL, "Unknown outcome kind: " + kind);
            };
        }
    }
}
