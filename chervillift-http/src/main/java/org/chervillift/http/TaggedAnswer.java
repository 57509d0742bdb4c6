package org.chervillift.http;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * A whole answer with its entity tag.
 *
 * @param answer the answer
 * @param tag the entity tag, if the server gave one
 */
public record TaggedAnswer(HttpAnswer answer, Optional<String> tag) {

    private static final int NOT_MODIFIED = 304;

    public TaggedAnswer {
        Checks.notNull("answer", answer);
        Checks.notNull("tag", tag);
    }

    /** Returns whether the server said that nothing has changed. */
    public boolean isNotModified() {
        return answer.status() == NOT_MODIFIED;
    }
}
