package org.chervillift.core.routing;

import java.time.Duration;
import org.chervillift.api.Checks;

/** The target of the next attempt of a request. */
public sealed interface RoutingDecision {

    /**
     * Send to an upstream; one of its slots has been taken for the request.
     *
     * @param upstream the upstream
     */
    record ToUpstream(Upstream upstream) implements RoutingDecision {
        public ToUpstream {
            Checks.notNull("upstream", upstream);
        }
    }

    /**
     * Relay to another entry VM, which may have a free slot.
     *
     * @param entryVm the entry VM
     */
    record ToEntryVm(EntryVm entryVm) implements RoutingDecision {
        public ToEntryVm {
            Checks.notNull("entryVm", entryVm);
        }
    }

    /**
     * No target: no slot is free.
     *
     * @param retryAfter after how long a slot may be free
     */
    record NoRoom(Duration retryAfter) implements RoutingDecision {
        public NoRoom {
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** No target: no upstream of the pool accepts requests. */
    record NoUpstream() implements RoutingDecision {}
}
