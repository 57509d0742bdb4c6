package org.chervillift.core.routing;

import org.chervillift.api.Checks;

/**
 * An entry VM as the list shows it.
 *
 * @param id the VM
 * @param dataCentre the data centre that it stands in
 * @param address IP number and port for requests
 */
public record EntryVm(String id, String dataCentre, String address) {
    public EntryVm {
        Checks.notBlank("id", id);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
    }
}
