package org.chervillift.standin.tasks;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * How long things take in the fleet in memory.
 *
 * @param task the run of a task
 * @param move the move of a VM to another pool
 * @param maintenance the maintenance of a VM
 */
public record FleetTimes(Duration task, Duration move, Duration maintenance) {
    public FleetTimes {
        Checks.notNull("task", task);
        Checks.notNull("move", move);
        Checks.notNull("maintenance", maintenance);
    }
}
