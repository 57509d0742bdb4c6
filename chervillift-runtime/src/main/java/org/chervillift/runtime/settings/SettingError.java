package org.chervillift.runtime.settings;

/**
 * One wrong setting.
 *
 * @param file the file
 * @param section the section
 * @param name the name within the section
 * @param value the value found, or blank where it is missing
 * @param problem one plain sentence
 * @param allowed what is allowed
 */
public record SettingError(
        String file, String section, String name, String value, String problem, String allowed) {

    /** Returns one plain line. */
    public String line() {
        return "%s: [%s] %s = %s: %s Allowed: %s."
                .formatted(file, section, name, value, problem, allowed);
    }
}
