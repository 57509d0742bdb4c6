package org.chervillift.daemon.internal.peers;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of membership. */
public enum PeerEvent implements Event {
    /** What is known of a member has changed. */
    MEMBER_CHANGED(6010, Level.INFO, "What is known of a member has changed."),
    /** A peer knew a later life of this process. */
    INCARNATION_RAISED(
            6011, Level.WARN, "A peer knew a later life of this VM; the life is raised."),
    /** Content was fetched from a peer. */
    FETCHED_FROM_PEER(6012, Level.INFO, "Content came from a peer."),
    /** A message of a peer could not be used. */
    BAD_MESSAGE(6013, Level.WARN, "A message of a peer cannot be used.");

    private final EventKind kind;

    PeerEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
