package org.chervillift.runtime.settings;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * One setting of a program.
 *
 * @param section the section of the INI file
 * @param name the name within the section
 * @param type what is allowed
 * @param defaultValue the value where the file has none; empty for a setting that must be given
 * @param meaning one plain sentence
 */
public record Setting(
        String section,
        String name,
        SettingType type,
        Optional<String> defaultValue,
        String meaning) {

    public Setting {
        Checks.notBlank("section", section);
        Checks.notBlank("name", name);
        Checks.notNull("type", type);
        Checks.notNull("defaultValue", defaultValue);
        Checks.notBlank("meaning", meaning);
        defaultValue.ifPresent(type::parse);
    }

    /** Returns a setting that the file must give. */
    public static Setting required(String section, String name, SettingType type, String meaning) {
        return new Setting(section, name, type, Optional.empty(), meaning);
    }

    /** Returns a setting with a default. */
    public static Setting optional(
            String section, String name, SettingType type, String defaultValue, String meaning) {
        return new Setting(section, name, type, Optional.of(defaultValue), meaning);
    }

    /** Returns the section and the name with a point between them. */
    public String path() {
        return section + "." + name;
    }
}
