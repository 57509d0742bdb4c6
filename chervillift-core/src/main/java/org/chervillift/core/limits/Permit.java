package org.chervillift.core.limits;

import org.chervillift.api.Checks;

/**
 * The right to run one request of a team.
 *
 * @param team the team
 * @param holder the holder name of the lease under which it was granted
 * @param number unique for the holder
 */
public record Permit(String team, String holder, long number) {
    public Permit {
        Checks.notBlank("team", team);
        Checks.notBlank("holder", holder);
    }
}
