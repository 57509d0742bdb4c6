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
import org.chervillift.core.claims.Outcome;
import org.chervillift.core.claims.StoredClaim;

/**
 * Turns claims into rows and transactions.
 *
 * <p>Each hour has tables of its own, so that old claims are found without reading new ones. A
 * claim is written under the condition that neither its hour nor the hours beside it have the key.
 */
public final class ClaimRowMapper {

    /** The time that one set of tables stands for. */
    public static final Duration TABLE_WINDOW = Duration.ofHours(1);

    /** The tables of one window. */
    public static final int SHARDS_PER_WINDOW = 16;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String tokenPrefix;

    /**
     * Creates the translation for one process.
     *
     * @param incarnation a text that no other process uses, nor an earlier one on this VM
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
        return new Transaction(tokenPrefix + action.group(), conditions, writes);
    }

    /** Returns the transaction that writes a group of ends. */
    public Transaction transaction(ClaimAction.CommitEnds action) {
        List<Transaction.Write> writes =
                action.ends().stream()
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
        return new Transaction(tokenPrefix + action.group(), List.of(), writes);
    }

    /** Returns the rows where the claims of a group may be. */
    public List<RowKey> rowKeys(ClaimAction.ReadClaims action) {
        return action.claims().stream().flatMap(c -> rowKeys(c).stream()).toList();
    }

    /** Returns the table of a shard in the window that a time falls into. */
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
        byte[] hash = sha256(claim.key().text());
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
            throw new ChervilliftException(ErrorCode.INTERNAL, "There is no SHA-256.", e);
        }
    }

    private static String toJson(Claim claim, Optional<Outcome> outcome) {
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
            throw new ChervilliftException(ErrorCode.INTERNAL, "A claim has no JSON form.", e);
        }
    }

    /**
     * Reads a row.
     *
     * @throws ChervilliftException if the row is not a claim
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
            throw new ChervilliftException(ErrorCode.INTERNAL, "A claim cannot be read.", e);
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

        static OutcomeRow of(Outcome outcome) {
            return switch (outcome) {
                case Outcome.Answered a ->
                        new OutcomeRow(ANSWERED, a.status(), a.headers(), a.bodyBase64(), null);
                case Outcome.AnswerNotKept n ->
                        new OutcomeRow(NOT_KEPT, n.status(), null, null, null);
                case Outcome.Unknown u -> new OutcomeRow(UNKNOWN, 0, null, null, u.code().name());
            };
        }

        Outcome toOutcome() {
            return switch (kind) {
                case ANSWERED -> new Outcome.Answered(status, headers, body);
                case NOT_KEPT -> new Outcome.AnswerNotKept(status);
                case UNKNOWN -> new Outcome.Unknown(ErrorCode.valueOf(code));
                default ->
                        throw new ChervilliftException(
                                ErrorCode.INTERNAL, "Unknown kind of outcome: " + kind);
            };
        }
    }
}
