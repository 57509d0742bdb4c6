package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A VM as the sheet names it.
 *
 * @param id unique identifier
 * @param pool the pool that it joins first
 * @param dataCentre the data centre that it stands in
 * @param rack the rack that it stands in
 * @param address IP number and port, as {@code 192.0.2.1:8080}
 * @param slots requests that it runs at once
 */
public record VmSpec(
        String id, String pool, String dataCentre, String rack, String address, int slots) {
    public VmSpec {
        Checks.notBlank("id", id);
        Checks.notBlank("pool", pool);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("rack", rack);
        Checks.notBlank("address", address);
        Checks.inRange("slots", slots, 1, 10_000);
    }
}
