package org.chervillift.runtime.events;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes events, one a line, with their number and fields. */
public final class EventLog {

    private static final Logger LOGGER = LogManager.getLogger("chervillift");

    private EventLog() {}

    /** Logs an event. */
    public static void log(Event event, Field... fields) {
        if (LOGGER.isEnabled(event.level())) {
            LOGGER.log(event.level(), line(event, fields));
        }
    }

    /** Logs an event with the stack of a fault. */
    public static void log(Event event, Throwable fault, Field... fields) {
        LOGGER.log(event.level(), line(event, fields), fault);
    }

    private static String line(Event event, Field... fields) {
        String values = Arrays.stream(fields).map(Field::toString).collect(Collectors.joining(" "));
        return "event=" + event.number() + " " + Field.of("text", event.meaning()) + " " + values;
    }
}
