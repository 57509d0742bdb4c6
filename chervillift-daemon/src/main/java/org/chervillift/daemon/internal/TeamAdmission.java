package org.chervillift.daemon.internal;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.config.Team;

/** Counts what runs for each team at this process, and holds it under the team's limit. */
public final class TeamAdmission {

    private final Map<String, Integer> running = new HashMap<>();

    /** Takes a place for a team, or returns false when the team is at its limit. */
    public boolean tryStart(Team team) {
        int now = running.getOrDefault(team.name(), 0);
        if (now >= team.limit()) {
            return false;
        }
        running.put(team.name(), now + 1);
        return true;
    }

    /** Gives a place back. */
    public void end(Team team) {
        running.merge(team.name(), -1, Integer::sum);
    }
}
