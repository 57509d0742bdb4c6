package org.chervillift.core.tasks.manifests;

import org.chervillift.api.Checks;

/**
 * What is wrong with a configuration, or looks so.
 *
 * @param severity whether it contradicts itself
 * @param entry the entry that it concerns, such as {@code queue quick}
 * @param sentence what is wrong
 */
public record Finding(Severity severity, String entry, String sentence) {

    /** How certain it is that the configuration is wrong. */
    public enum Severity {
        /** The entry contradicts another, or what is allowed. */
        ERROR,
        /** The entry has no effect, or probably not the intended one. */
        WARNING
    }

    public Finding {
        Checks.notNull("severity", severity);
        Checks.notBlank("entry", entry);
        Checks.notBlank("sentence", sentence);
    }

    /** Returns an error. */
    public static Finding error(String entry, String sentence) {
        return new Finding(Severity.ERROR, entry, sentence);
    }

    /** Returns a warning. */
    public static Finding warning(String entry, String sentence) {
        return new Finding(Severity.WARNING, entry, sentence);
    }
}
