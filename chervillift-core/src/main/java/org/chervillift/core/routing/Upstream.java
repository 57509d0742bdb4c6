package org.chervillift.core.routing;

import org.chervillift.api.Checks;

/**
 * An upstream as the router learns of it.
 *
 * @param id the VM
 * @param pool the pool that it is in now
 * @param dataCentre the data centre that it stands in
 * @param address IP number and port
 * @param slots requests that it runs at once
 * @param leaving whether the list says that it is leaving
 */
public record Upstream(
        String id, String pool, String dataCentre, String address, int slots, boolean leaving) {
    public Upstream {
        Checks.notBlank("id", id);
        Checks.notBlank("pool", pool);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
        Checks.inRange("slots", slots, 1, 10_000);
    }
}
