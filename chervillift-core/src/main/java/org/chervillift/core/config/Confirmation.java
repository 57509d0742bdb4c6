package org.chervillift.core.config;

import org.chervillift.api.Checks;

/**
 * A confirmation that an operator has to give before a risky change is applied.
 *
 * @param word the word to enter, which is valid for this change only
 * @param reason why the confirmation is required, as one sentence
 */
public record Confirmation(String word, String reason) {
    public Confirmation {
        Checks.notBlank("word", word);
        Checks.notBlank("reason", reason);
    }
}
