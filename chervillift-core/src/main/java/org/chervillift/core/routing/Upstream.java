package org.chervillift.core.routing;

import org.chervillift.api.Checks;

/**
 * An upstream as described by the list.
 *
 * @param id the VM
 * @param pool the current pool
 * @param dataCentre the data centre of the VM
 * @param address the IP address and port
 * @param slots the number of requests that it can run concurrently
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
