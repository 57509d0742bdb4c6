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

/** Who may act as an operator; holds only the hashes of the credentials. */
public final class OperatorCredentials {

    private static final Pattern ENTRY =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,31}):([0-9a-fA-F]{64})");

    private final Map<String, String> hashes;

    private OperatorCredentials(Map<String, String> hashes) {
        this.hashes = Map.copyOf(hashes);
    }

    /**
     * Reads {@code ann:SHA256, ben:SHA256}.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_SETTING} if the text is not such a
     *     list
     */
    public static OperatorCredentials parse(String text) {
        Map<String, String> hashes = new LinkedHashMap<>();
        for (String entry : text.split(",")) {
            Matcher m = ENTRY.matcher(entry.strip());
            if (!m.matches()
                    || hashes.put(m.group(1), m.group(2).toLowerCase(Locale.ROOT)) != null) {
                throw new ChervilliftException(
                        ErrorCode.BAD_SETTING,
                        "[control] operators: Allowed: NAME:SHA256 for each operator, with commas"
                                + " between them, each name once.");
            }
        }
        return new OperatorCredentials(hashes);
    }

    /** Returns whose credential it is; takes the same time for each wrong one. */
    public Optional<String> operator(String credential) {
        String found = null;
        for (Map.Entry<String, String> e : hashes.entrySet()) {
            if (Sha256.matches(credential, e.getValue())) {
                found = e.getKey();
            }
        }
        return Optional.ofNullable(found);
    }
}
