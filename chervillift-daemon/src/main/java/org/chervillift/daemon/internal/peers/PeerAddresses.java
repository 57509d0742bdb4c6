package org.chervillift.daemon.internal.peers;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.settings.HostPort;

/** Reads the addresses of peers. */
final class PeerAddresses {

    private PeerAddresses() {}

    /** Returns the addresses that are well formed; others cannot be dialled. */
    static Set<HostPort> parse(Collection<String> texts) {
        Set<HostPort> addresses = new HashSet<>();
        for (String text : texts) {
            try {
                addresses.add(HostPort.parse(text));
            } catch (ChervilliftException e) {
                // A wrong address in the list must not keep the others from being dialled.
                continue;
            }
        }
        return addresses;
    }
}
