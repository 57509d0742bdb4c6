package org.chervillift.runtime.events;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes events, one a line, with their number and fields. */
public final class EventLog {

    private static final Logger LOGGER = LogManager.getLogger("chervillift");

    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(400);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static volatile Optional<LogBudget> budget = Optional.empty();

    private EventLog() {}

    /** Bounds the lines of each event from now on. */
    public static void limit(LogBudget limit) {
        budget = Optional.of(limit);
    }

    /**
     * Writes what is not written yet, as far as standard output takes it in time; nothing is logged
     * afterwards.
     */
    public static void close() {
        Thread writer = new Thread(LogManager::shutdown, "log-close");
        writer.setDaemon(true);
        writer.start();
        try {
            writer.join(CLOSE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Logs an event. */
    public static void log(Event event, Field... fields) {
        if (!LOGGER.isEnabled(event.level())) {
            return;
        }
        long now = System.nanoTime() / NANOS_PER_MILLI;
        long leftOut = budget.map(b -> b.take(event.number(), now)).orElse(0L);
        if (leftOut >= 0) {
            String count = leftOut == 0 ? "" : " leftOutBefore=" + leftOut;
            LOGGER.log(event.level(), line(event, fields) + count);
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
