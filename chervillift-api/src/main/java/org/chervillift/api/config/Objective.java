package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A service-level objective of a queue.
 *
 * @param queue the queue that it speaks of
 * @param goodPercent the part of requests that must be good, in percent
 * @param withinMillis an answer is good when it comes within this time
 */
public record Objective(String queue, double goodPercent, long withinMillis) {
    public Objective {
        Checks.notBlank("queue", queue);
        Checks.that(goodPercent > 0 && goodPercent < 100, "goodPercent must be between 0 and 100");
        Checks.inRange("withinMillis", withinMillis, 1, 86_400_000);
    }
}
