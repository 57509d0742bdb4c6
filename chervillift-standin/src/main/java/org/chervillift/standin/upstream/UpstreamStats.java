package org.chervillift.standin.upstream;

import java.util.Map;

/**
 * What the upstream has run since it started.
 *
 * @param runs requests run
 * @param running requests running now
 * @param mostRunning the most requests that ran at once
 * @param busyAnswers requests refused since all slots were taken
 * @param runningByTeam requests running now, by team
 * @param mostRunningByTeam the most requests that ran at once, by team
 * @param repeatedIdentifiers identifiers of non-idempotent requests that ran more than once
 * @param cutRequests requests that were running when the VM was rebooted
 */
public record UpstreamStats(
        long runs,
        int running,
        int mostRunning,
        long busyAnswers,
        Map<String, Integer> runningByTeam,
        Map<String, Integer> mostRunningByTeam,
        long repeatedIdentifiers,
        long cutRequests) {
    public UpstreamStats {
        runningByTeam = Map.copyOf(runningByTeam);
        mostRunningByTeam = Map.copyOf(mostRunningByTeam);
    }
}
