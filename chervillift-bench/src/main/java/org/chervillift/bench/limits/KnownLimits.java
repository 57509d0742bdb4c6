package org.chervillift.bench.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Which version of each team's limit an entry VM has heard of, kept apart from its own decisions.
 *
 * <p>Work of a limit that an entry VM never heard of may still drain when it hears of a later one.
 * For that time the highest of the skipped limits counts for it.
 */
final class KnownLimits {

    private final LimitHistory history;
    private final Duration drainTime;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Skip> skips = new HashMap<>();

    /** The limits of all versions. */
    interface LimitHistory {
        /** Returns the limit of a team at a version. */
        int limitAt(String team, long version);

        /** Returns the newest version. */
        long newest();
    }

    private record Skip(int highest, Instant until) {}

    KnownLimits(LimitHistory history, Duration drainTime) {
        this.history = history;
        this.drainTime = drainTime;
    }

    /** Notes that a version of a team's limit was heard of. */
    void learn(String team, long version, Instant now) {
        long before = versions.getOrDefault(team, 0L);
        if (version <= before) {
            return;
        }
        versions.put(team, version);
        if (before == 0) {
            return;
        }
        int highest = skipped(team, now);
        for (long v = before + 1; v < version; v++) {
            highest = Math.max(highest, history.limitAt(team, v));
        }
        if (version > before + 1) {
            skips.put(team, new Skip(highest, now.plus(drainTime)));
        }
    }

    /** Returns the version of a team's limit that was heard of last. */
    long version(String team) {
        return versions.getOrDefault(team, 0L);
    }

    /**
     * Returns the most that may run with a start now.
     *
     * @param versionAtCheck the version known when the permit was checked; this one and all later
     *     ones may be in force at some entry VM
     */
    int allowed(String team, long versionAtCheck, Instant now) {
        int allowed = skipped(team, now);
        for (long v = versionAtCheck; v <= history.newest(); v++) {
            allowed = Math.max(allowed, history.limitAt(team, v));
        }
        return allowed;
    }

    private int skipped(String team, Instant now) {
        Skip s = skips.get(team);
        return s == null || now.isAfter(s.until()) ? 0 : s.highest();
    }
}
