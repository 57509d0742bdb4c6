package org.chervillift.core.config;

import org.chervillift.api.Sha256;
import org.chervillift.api.config.FleetConfig;

/** Names the content of a configuration, whatever its version and the order of its lists. */
public final class ConfigDigest {

    // No name and no value holds this character, so two contents never give one text.
    private static final char END_OF_TEXT = '\0';

    private ConfigDigest() {}

    /** Returns the SHA-256 of the content as 64 hexadecimal digits. */
    public static String of(FleetConfig config) {
        StringBuilder text = new StringBuilder();
        for (ConfigItem item : ConfigItem.of(config)) {
            add(text, item.kind().word());
            add(text, item.name());
            item.fields()
                    .forEach(
                            (field, value) -> {
                                add(text, field);
                                add(text, value);
                            });
            text.append(END_OF_TEXT);
        }
        return Sha256.hex(text.toString());
    }

    private static void add(StringBuilder text, String part) {
        text.append(part).append(END_OF_TEXT);
    }
}
