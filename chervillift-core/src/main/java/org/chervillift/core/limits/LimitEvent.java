package org.chervillift.core.limits;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.Checks;

/** An event that a {@link TeamLimiter} handles. */
public sealed interface LimitEvent {

    /** The periodic timer fired. */
    record Tick() implements LimitEvent {}

    /**
     * A configuration with these limits was adopted.
     *
     * @param version the version of the configuration
     * @param limits the limit of each team; a missing team has the limit 0
     */
    record LimitsAdopted(long version, Map<String, Integer> limits) implements LimitEvent {
        public LimitsAdopted {
            Checks.notNegative("version", version);
            limits = Collections.unmodifiableMap(new TreeMap<>(limits));
        }
    }

    /**
     * The answer to {@link LimitAction.ReadRows}.
     *
     * @param ownLease the lease of this process, empty if there is no row
     * @param rows the row of each requested team; {@link TeamRow#EMPTY} if there is none
     */
    record RowsRead(Optional<Versioned<HolderLease>> ownLease, Map<String, Versioned<TeamRow>> rows)
            implements LimitEvent {
        public RowsRead {
            Checks.notNull("ownLease", ownLease);
            rows = Collections.unmodifiableMap(new TreeMap<>(rows));
        }
    }

    /**
     * The answer to {@link LimitAction.ReadLeases}.
     *
     * @param leases the leases of all holders
     */
    record LeasesRead(List<Versioned<HolderLease>> leases) implements LimitEvent {
        public LeasesRead {
            leases = List.copyOf(leases);
        }
    }

    /** The transaction took effect. */
    record Committed() implements LimitEvent {}

    /** The transaction was rejected because a row had another version. */
    record Conflicted() implements LimitEvent {}

    /** The outstanding request failed; if it was a transaction, it may have taken effect. */
    record RequestFailed() implements LimitEvent {}

    /** The process is shutting down; permits are returned as soon as they are unused. */
    record ShutdownStarted() implements LimitEvent {}
}
