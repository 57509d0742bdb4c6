package org.chervillift.wire;

import org.chervillift.api.Checks;

/**
 * One life of a peer process, as it proved itself on a link.
 *
 * @param id the VM that it runs on
 * @param incarnation higher for a later life on the same VM
 * @param dataCentre the data centre that it stands in
 */
public record PeerIdentity(String id, long incarnation, String dataCentre) {
    public PeerIdentity {
        Checks.notBlank("id", id);
        Checks.notNegative("incarnation", incarnation);
        Checks.notBlank("dataCentre", dataCentre);
    }
}
