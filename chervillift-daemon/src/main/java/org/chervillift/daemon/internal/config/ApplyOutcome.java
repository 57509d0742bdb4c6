package org.chervillift.daemon.internal.config;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.core.config.ApplyDecision;
import org.chervillift.core.config.ConfigChange;

/** The outcome of a request to apply a configuration sheet. */
public sealed interface ApplyOutcome {

    /**
     * The sheet was applied.
     *
     * @param head the new version
     * @param changes the differences from the previous version
     */
    record Applied(ConfigHead head, List<ConfigChange> changes) implements ApplyOutcome {
        public Applied {
            Checks.notNull("head", head);
            changes = List.copyOf(changes);
        }
    }

    /**
     * Nothing was written, as the apply rules decided.
     *
     * @param decision the decision of the rules
     */
    record NotWritten(ApplyDecision decision) implements ApplyOutcome {
        public NotWritten {
            Checks.notNull("decision", decision);
        }
    }

    /**
     * Nothing was written because VMs are in a pool that the sheet removes, or moving to one.
     *
     * @param vmsWithPools the VMs, each as {@code VM in POOL}
     */
    record PoolsInUse(List<String> vmsWithPools) implements ApplyOutcome {
        public PoolsInUse {
            vmsWithPools = List.copyOf(vmsWithPools);
        }
    }

    /**
     * The platform failed or did not answer.
     *
     * @param mayHaveTakenEffect whether the change may have taken effect; if so, sending the same
     *     command again reports the outcome
     * @param detail the error message
     */
    record Unavailable(boolean mayHaveTakenEffect, String detail) implements ApplyOutcome {
        public Unavailable {
            Checks.notNull("detail", detail);
        }
    }
}
