package org.chervillift.runtime.supervision;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * How often a supervisor restarts its parts before it gives up and fails itself.
 *
 * @param mostRestarts restarts allowed within the window
 * @param window the length of the window
 * @param delay the wait before a restart
 */
public record RestartPolicy(int mostRestarts, Duration window, Duration delay) {
    public RestartPolicy {
        Checks.inRange("mostRestarts", mostRestarts, 0, 1_000);
        Checks.notNull("window", window);
        Checks.notNull("delay", delay);
    }
}
