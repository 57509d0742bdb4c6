package org.chervillift.core.tasks;

import java.util.OptionalLong;

/** When a step began to wait for a place in a rack, and what that wait is for. */
final class RackWaitState {

    private OptionalLong since = OptionalLong.empty();
    private boolean becameReady;
    private boolean demandRecorded;
    private String rack = "";

    /** Returns since when the step has waited while it could start elsewhere, if it has. */
    OptionalLong since() {
        return since;
    }

    /** Records that the step waits for a rack; the beginning of its first wait is kept. */
    void begin(long begunAt, String newestRack) {
        since = OptionalLong.of(since.orElse(begunAt));
        rack = newestRack;
    }

    /** Returns the rack that the step last waited for. */
    String rack() {
        return rack;
    }

    /** Records that the step counts among those that want its rack; returns false if it did. */
    boolean recordDemand() {
        boolean first = !demandRecorded;
        demandRecorded = true;
        return first;
    }

    /** Records that the last step before this one is done, by this holder's knowledge. */
    void markReady() {
        becameReady = true;
    }

    /** Returns whether this holder has seen the last step before this one become done. */
    boolean becameReady() {
        return becameReady;
    }
}
