package org.chervillift.daemon.internal;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.config.Team;

/** Limits the running requests of each team in this process to the team's limit. */
public final class TeamConcurrencyLimiter {

    private final Map<String, Integer> runningByTeam = new HashMap<>();

    /** Counts a request as running; returns false if the team is at its limit. */
    public boolean tryAcquire(Team team) {
        int count = runningByTeam.getOrDefault(team.name(), 0);
        if (count >= team.limit()) {
            return false;
        }
        runningByTeam.put(team.name(), count + 1);
        return true;
    }

    /** Counts a request of the team as ended. */
    public void release(Team team) {
        runningByTeam.merge(team.name(), -1, Integer::sum);
    }
}
