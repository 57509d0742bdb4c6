package org.chervillift.core.limits;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.Checks;

/** What a {@link TeamLimiter} is told. */
public sealed interface LimitEvent {

    /** Time has passed. */
    record Tick() implements LimitEvent {}

    /**
     * Limits came into force.
     *
     * @param version the version of the configuration
     * @param limits the limit of each team; a team that is missing has none running
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
     * @param ownLease the own lease, empty where there is no row
     * @param rows the row of each team asked for; {@link TeamRow#EMPTY} where there is none
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
     * @param leases all leases
     */
    record LeasesRead(List<Versioned<HolderLease>> leases) implements LimitEvent {
        public LeasesRead {
            leases = List.copyOf(leases);
        }
    }

    /** The transaction took effect. */
    record Committed() implements LimitEvent {}

    /** A row of the transaction had another version. */
    record Conflicted() implements LimitEvent {}

    /** The action under way failed; a transaction may have taken effect. */
    record RequestFailed() implements LimitEvent {}

    /** The process is to stop: all permits go back as soon as they are idle. */
    record ShutdownStarted() implements LimitEvent {}
}
