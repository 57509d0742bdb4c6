package org.chervillift.runtime.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** The checked values of a settings file. */
public final class Settings {

    private final Map<String, Object> values;

    Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /** Returns a text or a choice. */
    public String text(String path) {
        return (String) value(path);
    }

    /** Returns a whole number. */
    public int number(String path) {
        return Math.toIntExact((Long) value(path));
    }

    /** Returns a number that may have decimals. */
    public BigDecimal decimal(String path) {
        return (BigDecimal) value(path);
    }

    /** Returns a duration. */
    public Duration duration(String path) {
        return (Duration) value(path);
    }

    /** Returns an address. */
    public HostPort address(String path) {
        return (HostPort) value(path);
    }

    /** Returns addresses. */
    public List<HostPort> addresses(String path) {
        return ((List<?>) value(path)).stream().map(HostPort.class::cast).toList();
    }

    private Object value(String path) {
        Object value = values.get(path);
        if (value == null) {
            throw new IllegalArgumentException("no setting " + path);
        }
        return value;
    }
}
