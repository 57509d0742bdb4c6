package org.chervillift.runtime.events;

import org.apache.logging.log4j.Level;
import org.chervillift.api.Checks;

/**
 * What the catalogue says of an event.
 *
 * @param number unique over all modules, from 1000 to 9999
 * @param level the level
 * @param meaning what happened, as one plain sentence
 */
public record EventKind(int number, Level level, String meaning) {

    private static final int LEAST_NUMBER = 1_000;
    private static final int MOST_NUMBER = 9_999;

    public EventKind {
        Checks.inRange("number", number, LEAST_NUMBER, MOST_NUMBER);
        Checks.notNull("level", level);
        Checks.notBlank("meaning", meaning);
    }
}
