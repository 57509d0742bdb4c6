package org.chervillift.daemon.internal;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Sha256;

/** The names of the operators and the SHA-256 hashes of their credentials. */
public final class OperatorCredentials {

    private static final Pattern ENTRY_PATTERN =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,31}):([0-9a-fA-F]{64})");

    private final Map<String, String> hashByOperator;

    private OperatorCredentials(Map<String, String> hashByOperator) {
        this.hashByOperator = Map.copyOf(hashByOperator);
    }

    /**
     * Parses a list such as {@code ann:SHA256, ben:SHA256}.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_SETTING} if an entry is malformed or a
     *     name occurs twice
     */
    public static OperatorCredentials parse(String text) {
        Map<String, String> hashByOperator = new LinkedHashMap<>();
        for (String entry : text.split(",")) {
            Matcher matcher = ENTRY_PATTERN.matcher(entry.strip());
            if (!matcher.matches()
                    || hashByOperator.put(
                                    matcher.group(1), matcher.group(2).toLowerCase(Locale.ROOT))
                            != null) {
                throw new ChervilliftException(
                        ErrorCode.BAD_SETTING,
                        "[control] operators: Allowed: NAME:SHA256 for each operator, separated by"
                                + " commas, each name once.");
            }
        }
        return new OperatorCredentials(hashByOperator);
    }

    /**
     * Finds the operator with a credential.
     *
     * <p>Compares it with all hashes in constant time, so that the duration does not show how close
     * a wrong credential is.
     */
    public Optional<String> findOperator(String credential) {
        String operator = null;
        for (Map.Entry<String, String> entry : hashByOperator.entrySet()) {
            if (Sha256.matches(credential, entry.getValue())) {
                operator = entry.getKey();
            }
        }
        return Optional.ofNullable(operator);
    }
}
