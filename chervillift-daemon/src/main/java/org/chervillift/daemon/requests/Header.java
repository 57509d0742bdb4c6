package org.chervillift.daemon.requests;

import org.chervillift.api.Checks;

/**
 * One header of a request or an answer.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {

    private static final String SEPARATOR = ": ";

    public Header {
        Checks.notBlank("name", name);
        Checks.notNull("value", value);
    }

    /** Returns the header that {@link #toString()} wrote. */
    static Header parse(String line) {
        int at = line.indexOf(SEPARATOR);
        return new Header(line.substring(0, at), line.substring(at + SEPARATOR.length()));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + value;
    }
}
