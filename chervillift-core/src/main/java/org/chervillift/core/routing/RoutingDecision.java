package org.chervillift.core.routing;

import java.time.Duration;
import org.chervillift.api.Checks;

/** Where a request goes next. */
public sealed interface RoutingDecision {

    /**
     * To an upstream; one of its slots is taken.
     *
     * @param upstream the upstream
     */
    record ToUpstream(Upstream upstream) implements RoutingDecision {
        public ToUpstream {
            Checks.notNull("upstream", upstream);
        }
    }

    /**
     * To another entry VM, which may have room.
     *
     * @param entryVm the entry VM
     */
    record ToEntryVm(EntryVm entryVm) implements RoutingDecision {
        public ToEntryVm {
            Checks.notNull("entryVm", entryVm);
        }
    }

    /**
     * Nowhere, since no slot is free.
     *
     * @param retryAfter when a slot may be free
     */
    record NoRoom(Duration retryAfter) implements RoutingDecision {
        public NoRoom {
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** Nowhere, since the pool has no upstream that takes work. */
    record NoUpstream() implements RoutingDecision {}
}
