package org.chervillift.api.platform;

import org.chervillift.api.Checks;

/**
 * A VM as the platform's lagging list shows it.
 *
 * @param id the VM
 * @param role what runs on it
 * @param dataCentre the data centre that it stands in
 * @param address IP number and port for callers' requests
 * @param peerAddress IP number and port for peers, blank for upstreams
 * @param leaving whether it was told to leave
 */
public record ListedVm(
        String id,
        Role role,
        String dataCentre,
        String address,
        String peerAddress,
        boolean leaving) {

    public ListedVm {
        Checks.notBlank("id", id);
        Checks.notNull("role", role);
        Checks.notBlank("dataCentre", dataCentre);
        Checks.notBlank("address", address);
        Checks.notNull("peerAddress", peerAddress);
    }

    /** Returns the entry with another mark whether the VM was told to leave. */
    public ListedVm withLeaving(boolean nowLeaving) {
        return new ListedVm(id, role, dataCentre, address, peerAddress, nowLeaving);
    }

    /** What runs on a VM. */
    public enum Role {
        /** The daemon of this system. */
        ENTRY,
        /** A back end that runs requests. */
        UPSTREAM
    }
}
