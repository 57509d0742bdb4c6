package org.chervillift.core.membership;

import org.chervillift.api.Checks;

/**
 * One incarnation of a daemon on a VM.
 *
 * @param id the VM
 * @param incarnation increases with each start on the same VM
 * @param dataCentre the data centre of the VM
 * @param address the address on which it listens for peers
 */
public record NodeIdentity(String id, long incarnation, String dataCentre, String address) {
    public NodeIdentity {
        Checks.notBlank("id", id);
        Checks.notNegative("incarnation", incarnation);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
    }

    /** Returns the same node with another incarnation. */
    public NodeIdentity withIncarnation(long other) {
        return new NodeIdentity(id, other, dataCentre, address);
    }
}
