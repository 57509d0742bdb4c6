package org.chervillift.wire.internal;

import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.PeerIdentity;

/**
 * What a finished handshake gives.
 *
 * @param peer who is at the other side
 * @param listen where the peer listens
 * @param dialledBySelf whether this process opened the channel
 * @param out seals what is sent
 * @param in checks what is received
 */
record Session(PeerIdentity peer, HostPort listen, boolean dialledBySelf, Seal out, Seal in) {

    /** Returns the identifier of the side that dialled. */
    String diallerId(String selfId) {
        return dialledBySelf ? selfId : peer.id();
    }
}
