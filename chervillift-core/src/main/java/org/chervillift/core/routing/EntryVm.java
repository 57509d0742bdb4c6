package org.chervillift.core.routing;

import org.chervillift.api.Checks;

/**
 * An entry VM as described by the list.
 *
 * @param id the VM
 * @param dataCentre the data centre of the VM
 * @param address the IP address and port for requests
 */
public record EntryVm(String id, String dataCentre, String address) {
    public EntryVm {
        Checks.notBlank("id", id);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
    }
}
