package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A team of submitters.
 *
 * @param name unique name
 * @param share weight when everything is full, at least 1
 * @param limit most requests and tasks running at once across the fleet
 */
public record Team(String name, int share, int limit) {
    public Team {
        Checks.notBlank("name", name);
        Checks.inRange("share", share, 1, 1_000_000);
        Checks.inRange("limit", limit, 0, 1_000_000);
    }
}
