package org.chervillift.daemon.internal.peers;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Versions;

/** The configuration and the key ring that this process holds. */
public interface FleetContent {

    /** Returns the versions that this process holds. */
    Versions heldVersions();

    /** Returns the content that this process holds, encoded for a peer, or empty without any. */
    Optional<byte[]> encode(ContentKind kind);

    /** Adopts content that a peer sent, if it is newer than the held content. */
    void offer(ContentKind kind, byte[] content);

    /** Reads the store immediately. */
    CompletionStage<Void> refreshFromStore();
}
