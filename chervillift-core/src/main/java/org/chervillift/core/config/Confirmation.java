package org.chervillift.core.config;

import org.chervillift.api.Checks;

/**
 * A word that an operator has to give before a doubtful change is applied.
 *
 * @param word the word, which fits this change only
 * @param reason why it is needed, as one plain sentence
 */
public record Confirmation(String word, String reason) {
    public Confirmation {
        Checks.notBlank("word", word);
        Checks.notBlank("reason", reason);
    }
}
