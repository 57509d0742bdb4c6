package org.chervillift.core.config;

import org.chervillift.api.Sha256;
import org.chervillift.api.config.FleetConfig;

/** Computes a digest of a configuration that ignores its version and the order of its lists. */
public final class ConfigDigest {

    // No name or value contains this character, so different contents never give the same text.
    private static final char TERMINATOR = '\0';

    private ConfigDigest() {}

    /** Returns the SHA-256 of the content as 64 hexadecimal digits. */
    public static String of(FleetConfig config) {
        StringBuilder text = new StringBuilder();
        for (ConfigItem item : ConfigItem.of(config)) {
            appendTerminated(text, item.kind().label());
            appendTerminated(text, item.name());
            item.fields()
                    .forEach(
                            (field, value) -> {
                                appendTerminated(text, field);
                                appendTerminated(text, value);
                            });
            text.append(TERMINATOR);
        }
        return Sha256.hex(text.toString());
    }

    private static void appendTerminated(StringBuilder text, String part) {
        text.append(part).append(TERMINATOR);
    }
}
