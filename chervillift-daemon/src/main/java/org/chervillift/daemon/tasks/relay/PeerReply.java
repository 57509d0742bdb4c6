package org.chervillift.daemon.tasks.relay;

import org.chervillift.api.Checks;

/** What came of sending a request to a peer. */
public sealed interface PeerReply {

    /**
     * The peer answered.
     *
     * @param answer the answer
     */
    record Answered(RelayedAnswer answer) implements PeerReply {
        public Answered {
            Checks.notNull("answer", answer);
        }
    }

    /**
     * The peer did not receive the request, or certainly did nothing.
     *
     * @param why what was found
     */
    record NotReached(String why) implements PeerReply {}

    /**
     * The peer may have handled the request.
     *
     * @param why what was found
     */
    record NoAnswer(String why) implements PeerReply {}
}
