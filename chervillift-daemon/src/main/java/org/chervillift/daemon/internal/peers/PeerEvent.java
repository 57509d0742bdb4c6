package org.chervillift.daemon.internal.peers;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The log events of peer membership. */
public enum PeerEvent implements Event {
    /** The state or identity of a member has changed in this process's view. */
    MEMBER_CHANGED(6010, Level.INFO, "The known state of a member has changed."),
    /** A peer knew a higher incarnation of this VM, so this process raises its own. */
    INCARNATION_RAISED(
            6011,
            Level.WARN,
            "A peer knew a higher incarnation of this VM; the incarnation is raised."),
    /** Content was fetched from a peer. */
    FETCHED_FROM_PEER(6012, Level.INFO, "Content was fetched from a peer."),
    /** A message from a peer is invalid and was discarded. */
    BAD_MESSAGE(6013, Level.WARN, "A message from a peer is invalid and was discarded.");

    private final EventKind kind;

    PeerEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
