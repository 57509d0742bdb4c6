package org.chervillift.standin.upstream;

import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Counts what ran at one or more upstreams, independently of the system under test.
 *
 * <p>Upstreams of one process share a ledger, so that its peaks are of one moment. Used by one
 * thread.
 */
public final class RunLedger {

    private final Map<String, Integer> runningByTeam = new HashMap<>();
    private final Map<String, Integer> mostRunningByTeam = new HashMap<>();
    private final Map<String, Integer> runsByIdentifier = new HashMap<>();
    private final Map<String, Long> lastStartByTeam = new HashMap<>();
    private final Set<String> away = new TreeSet<>();
    private final Set<String> awayTogether = new TreeSet<>();
    private final Set<String> rebooted = new TreeSet<>();

    /** Notes that a request starts for a team. */
    void begin(String team, Instant now) {
        lastStartByTeam.put(team, now.toEpochMilli());
        int ofTeam = runningByTeam.merge(team, 1, Integer::sum);
        mostRunningByTeam.merge(team, ofTeam, Math::max);
    }

    /** Notes the identifier of a non-idempotent request that starts. */
    void noteIdentifier(String identifier) {
        runsByIdentifier.merge(identifier, 1, Integer::sum);
    }

    /** Notes that a request of a team has ended. */
    void end(String team) {
        runningByTeam.merge(team, -1, Integer::sum);
    }

    /** Notes that an upstream takes no work, or takes work again. */
    void setAway(String upstream, boolean isAway) {
        if (isAway) {
            away.add(upstream);
            awayTogether.add(String.join("+", away));
        } else {
            away.remove(upstream);
        }
    }

    /** Notes that an upstream was rebooted. */
    void noteReboot(String upstream) {
        rebooted.add(upstream);
    }

    /** Returns the counts. */
    public LedgerCounts counts() {
        return new LedgerCounts(
                runningByTeam,
                mostRunningByTeam,
                runsByIdentifier,
                lastStartByTeam,
                awayTogether,
                rebooted);
    }

    /**
     * The counts of a ledger.
     *
     * @param runningByTeam requests running now, by team
     * @param mostRunningByTeam the most requests that ran at once, by team
     * @param runsByIdentifier runs of non-idempotent requests, by identifier
     * @param lastStartByTeam when a request last started, in milliseconds since 1970 UTC, by team
     * @param awayTogether each set of upstreams that took no work at one moment
     * @param rebooted the upstreams that were rebooted
     */
    public record LedgerCounts(
            Map<String, Integer> runningByTeam,
            Map<String, Integer> mostRunningByTeam,
            Map<String, Integer> runsByIdentifier,
            Map<String, Long> lastStartByTeam,
            Set<String> awayTogether,
            Set<String> rebooted) {
        public LedgerCounts {
            runningByTeam = Map.copyOf(runningByTeam);
            mostRunningByTeam = Map.copyOf(mostRunningByTeam);
            runsByIdentifier = Map.copyOf(runsByIdentifier);
            lastStartByTeam = Map.copyOf(lastStartByTeam);
            awayTogether = Collections.unmodifiableSet(new TreeSet<>(awayTogether));
            rebooted = Collections.unmodifiableSet(new TreeSet<>(rebooted));
        }

        /** Returns the number of identifiers that ran more than once. */
        public long repeatedIdentifiers() {
            return runsByIdentifier.values().stream().filter(n -> n > 1).count();
        }
    }
}
