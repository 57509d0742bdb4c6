package org.chervillift.daemon.internal.keys;

import java.util.List;
import org.chervillift.api.Checks;

/** The outcome of granting or withdrawing a key. */
public sealed interface KeyChangeOutcome {

    /**
     * The key ring is in the requested state.
     *
     * @param ringVersion the version of the ring
     * @param changed whether this operation changed the ring
     */
    record Succeeded(long ringVersion, boolean changed) implements KeyChangeOutcome {}

    /** Another key already has the identifier. */
    record IdentifierTaken() implements KeyChangeOutcome {}

    /**
     * This process may not confirm a withdrawal yet.
     *
     * @param members the processes that have not acknowledged this one as a member; empty if this
     *     process has not joined yet
     */
    record NotReady(List<String> members) implements KeyChangeOutcome {
        public NotReady {
            members = List.copyOf(members);
        }
    }

    /**
     * The platform did not respond, or the withdrawal could not be confirmed.
     *
     * @param mayHaveTakenEffect whether the change may have taken effect; if so, repeating the same
     *     command later shows whether it did
     * @param detail a description of the failure
     */
    record Unavailable(boolean mayHaveTakenEffect, String detail) implements KeyChangeOutcome {
        public Unavailable {
            Checks.notNull("detail", detail);
        }
    }
}
