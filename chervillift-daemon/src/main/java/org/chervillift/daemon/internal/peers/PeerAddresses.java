package org.chervillift.daemon.internal.peers;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.settings.HostPort;

/** Parses the addresses of peers. */
final class PeerAddresses {

    private PeerAddresses() {}

    /** Returns the well-formed addresses; malformed ones are skipped. */
    static Set<HostPort> parse(Collection<String> texts) {
        Set<HostPort> addresses = new HashSet<>();
        for (String text : texts) {
            try {
                addresses.add(HostPort.parse(text));
            } catch (ChervilliftException e) {
                // A malformed address must not prevent dialling the others.
                continue;
            }
        }
        return addresses;
    }
}
