package org.chervillift.daemon.requests;

import org.chervillift.api.Checks;

/**
 * One header of a request or a response.
 *
 * @param name the header name
 * @param value the header value
 */
public record Header(String name, String value) {

    private static final String SEPARATOR = ": ";

    public Header {
        Checks.notBlank("name", name);
        Checks.notNull("value", value);
    }

    /** Parses the output of {@link #toString()}. */
    static Header parse(String line) {
        int separatorIndex = line.indexOf(SEPARATOR);
        return new Header(
                line.substring(0, separatorIndex),
                line.substring(separatorIndex + SEPARATOR.length()));
    }

    @Override
    public String toString() {
        return name + SEPARATOR + value;
    }
}
