package org.chervillift.core.tasks;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Decides whether a part of the holder that must go on has stopped.
 *
 * <p>The holder's lease is renewed apart from these parts, so no other process takes over from a
 * holder that does nothing. A part goes on also when a call that it makes fails: a store that is
 * away or slow is no reason to replace the holder.
 */
public final class HolderHealth {

    /** Longer than the longest call that a part waits for. */
    private static final long MAX_SILENCE_MILLIS = 15_000;

    /** Checks come more often than this, unless the process was paused. */
    private static final long MAX_CHECK_INTERVAL_MILLIS = 1_000;

    private final Map<String, Long> wentOnAt = new LinkedHashMap<>();
    private long countedSince;
    private long lastCheckAt;

    /**
     * A part that has stopped.
     *
     * @param part the name of the part
     * @param millis for how long it has not gone on
     */
    public record Silence(String part, long millis) {}

    /** Creates a record of parts that have not gone on yet. */
    public HolderHealth(long now) {
        this.countedSince = now;
        this.lastCheckAt = now;
    }

    /** Records that a part has gone on. */
    public void recordProgress(String part, long now) {
        wentOnAt.put(Checks.notBlank("part", part), now);
    }

    /** Stops watching a part that has nothing to do, until it goes on again. */
    public void forget(String part) {
        wentOnAt.remove(part);
    }

    /**
     * Returns the part that has been silent for longest, if it has for too long.
     *
     * <p>Time in which the process was paused is not counted.
     */
    public Optional<Silence> check(long now) {
        if (now - lastCheckAt > MAX_CHECK_INTERVAL_MILLIS) {
            countedSince = now;
        }
        lastCheckAt = now;
        return wentOnAt.entrySet().stream()
                .map(e -> new Silence(e.getKey(), now - Math.max(countedSince, e.getValue())))
                .filter(s -> s.millis() > MAX_SILENCE_MILLIS)
                .max(Comparator.comparingLong(Silence::millis));
    }
}
