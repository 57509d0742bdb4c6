package org.chervillift.daemon.internal.peers;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Versions;

/** The configuration and the key ring that this process holds. */
public interface FleetContent {

    /** Returns the versions that this process holds. */
    Versions heldVersions();

    /** Returns the content that this process holds, as bytes for a peer. */
    Optional<byte[]> encode(ContentKind kind);

    /** Takes content that a peer has sent; content that is not newer changes nothing. */
    void offer(ContentKind kind, byte[] content);

    /** Reads the store now. */
    CompletionStage<Void> refreshFromStore();
}
