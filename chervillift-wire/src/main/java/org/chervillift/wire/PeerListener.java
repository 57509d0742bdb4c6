package org.chervillift.wire;

import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.generated.PeerMessage;

/** Told what happens on the links, always on the executor that the caller gave. */
public interface PeerListener {

    /** A peer has proved its membership on a new link. */
    void linkUp(PeerIdentity peer, HostPort listen);

    /** No link to that life of the peer is left. */
    void linkDown(PeerIdentity peer, String reason);

    /** A message came. */
    void received(PeerIdentity peer, PeerMessage message);
}
