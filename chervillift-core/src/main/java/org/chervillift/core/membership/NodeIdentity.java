package org.chervillift.core.membership;

import org.chervillift.api.Checks;

/**
 * One life of a daemon on a VM.
 *
 * @param id the VM
 * @param incarnation higher for a later life on the same VM
 * @param dataCentre the data centre that it stands in
 * @param address where it listens for peers
 */
public record NodeIdentity(String id, long incarnation, String dataCentre, String address) {
    public NodeIdentity {
        Checks.notBlank("id", id);
        Checks.notNegative("incarnation", incarnation);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
    }

    /** Returns the same node in another life. */
    public NodeIdentity withIncarnation(long other) {
        return new NodeIdentity(id, other, dataCentre, address);
    }
}
