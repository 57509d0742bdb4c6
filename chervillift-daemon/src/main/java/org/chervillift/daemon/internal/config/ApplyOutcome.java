package org.chervillift.daemon.internal.config;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.core.config.ApplyDecision;
import org.chervillift.core.config.ConfigChange;

/** How a wish to apply a sheet ended. */
public sealed interface ApplyOutcome {

    /**
     * The content is the accepted one.
     *
     * @param head the version that it got
     * @param changes what it changed
     */
    record Applied(ConfigHead head, List<ConfigChange> changes) implements ApplyOutcome {
        public Applied {
            Checks.notNull("head", head);
            changes = List.copyOf(changes);
        }
    }

    /**
     * Nothing was written, for a reason that the rules give.
     *
     * @param decision the reason
     */
    record NotWritten(ApplyDecision decision) implements ApplyOutcome {
        public NotWritten {
            Checks.notNull("decision", decision);
        }
    }

    /**
     * Nothing was written, since VMs are in a pool that the sheet removes.
     *
     * @param vms the VMs with their pools
     */
    record PoolsInUse(List<String> vms) implements ApplyOutcome {
        public PoolsInUse {
            vms = List.copyOf(vms);
        }
    }

    /**
     * The platform did not answer.
     *
     * @param mayBeInForce whether the change may have taken effect; if so, the same command later
     *     tells
     * @param detail what failed
     */
    record Unavailable(boolean mayBeInForce, String detail) implements ApplyOutcome {
        public Unavailable {
            Checks.notNull("detail", detail);
        }
    }
}
