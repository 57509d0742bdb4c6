package org.chervillift.core.limits;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chervillift.api.Checks;

/**
 * The row of the platform's table that divides a team's limit among the entry VMs.
 *
 * @param limitVersion the version of the configuration that the limit comes from
 * @param limit the upper limit of running requests across the fleet
 * @param holdings the permits allocated to each holder, by holder name
 */
public record TeamRow(long limitVersion, int limit, SortedMap<String, PermitHolding> holdings) {

    /** Stands for a row that was never written. */
    public static final TeamRow EMPTY = new TeamRow(0, 0, new TreeMap<>());

    public TeamRow {
        Checks.notNegative("limitVersion", limitVersion);
        Checks.notNegative("limit", limit);
        holdings = Collections.unmodifiableSortedMap(new TreeMap<>(holdings));
    }

    /** Returns the permits of one holder. */
    public int permitsHeldBy(String holder) {
        PermitHolding h = holdings.get(holder);
        return h == null ? 0 : h.permits();
    }

    /** Returns the sum of the permits of all holders. */
    public int totalHeld() {
        return holdings.values().stream().mapToInt(PermitHolding::permits).sum();
    }

    /** Returns the permits that no holder has; negative if the limit was lowered below the sum. */
    public int freePermits() {
        return limit - totalHeld();
    }

    /**
     * Returns the row with a new limit, or this row if its limit has the same or a later version.
     */
    public TeamRow withLimit(long version, int newLimit) {
        return version > limitVersion ? new TeamRow(version, newLimit, holdings) : this;
    }

    /** Returns the row with a holding added or replaced; an empty holding is removed. */
    public TeamRow withHolding(String holder, PermitHolding holding) {
        SortedMap<String, PermitHolding> changed = new TreeMap<>(holdings);
        if (holding.permits() == 0 && holding.wanted() == 0) {
            changed.remove(holder);
        } else {
            changed.put(holder, holding);
        }
        return new TeamRow(limitVersion, limit, changed);
    }

    /** Returns the row without the given holders. */
    public TeamRow withoutHolders(Collection<String> holders) {
        SortedMap<String, PermitHolding> changed = new TreeMap<>(holdings);
        changed.keySet().removeAll(holders);
        return new TeamRow(limitVersion, limit, changed);
    }
}
