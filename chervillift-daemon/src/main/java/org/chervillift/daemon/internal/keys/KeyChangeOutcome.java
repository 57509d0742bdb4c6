package org.chervillift.daemon.internal.keys;

import java.util.List;
import org.chervillift.api.Checks;

/** How a grant or a withdrawal ended. */
public sealed interface KeyChangeOutcome {

    /**
     * The ring is as wished.
     *
     * @param ringVersion the version of the ring
     * @param changed whether it was changed just now
     */
    record Succeeded(long ringVersion, boolean changed) implements KeyChangeOutcome {}

    /** Another key has the identifier. */
    record IdentifierTaken() implements KeyChangeOutcome {}

    /**
     * This process may not answer a withdrawal yet.
     *
     * @param members the processes that have not confirmed it, empty if it has not joined itself
     */
    record NotReady(List<String> members) implements KeyChangeOutcome {
        public NotReady {
            members = List.copyOf(members);
        }
    }

    /**
     * The platform did not answer.
     *
     * @param mayBeInForce whether the change may have taken effect; if so, the same command later
     *     tells
     * @param detail what failed
     */
    record Unavailable(boolean mayHaveTakenEffect, String detail) implements KeyChangeOutcome {
        public Unavailable {
            Checks.notNull("detail", detail);
        }
    }
}
