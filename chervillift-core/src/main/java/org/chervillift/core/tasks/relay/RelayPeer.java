package org.chervillift.core.tasks.relay;

import org.chervillift.api.Checks;

/**
 * Another entry VM to which requests can be relayed.
 *
 * @param vm the name of the VM
 * @param address the address on which it accepts relayed requests
 * @param dataCentre the data centre of the VM
 * @param process the process that serves the address
 */
public record RelayPeer(String vm, String address, String dataCentre, String process) {
    public RelayPeer {
        Checks.notBlank("vm", vm);
        Checks.notBlank("address", address);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("process", process);
    }
}
