package org.chervillift.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;

/**
 * Which VMs were seen to take work, and since when each other one was not.
 *
 * @param up the VMs that were seen to take work at the last look
 * @param notUpSince when each VM was first seen not to take work
 * @param seenAt the time of the last look
 */
public record Health(Set<String> up, Map<String, Instant> notUpSince, Instant seenAt) {

    /** Nothing has been seen yet, so every VM counts as unavailable. */
    public static final Health UNKNOWN = new Health(Set.of(), Map.of(), Instant.EPOCH);

    public Health {
        up = Set.copyOf(up);
        notUpSince = Map.copyOf(notUpSince);
        Checks.notNull("seenAt", seenAt);
    }

    /** Returns the health after another look. */
    public Health observe(Collection<String> known, Set<String> upNow, Instant now) {
        Map<String, Instant> since = new HashMap<>();
        for (String vm : known) {
            if (!upNow.contains(vm)) {
                since.put(vm, notUpSince.getOrDefault(vm, now));
            }
        }
        return new Health(upNow, since, now);
    }

    /** Returns the health as it may be used now: too old a look tells nothing. */
    public Health asOf(Instant now, Duration mostAge) {
        return seenAt.plus(mostAge).isBefore(now) ? UNKNOWN : this;
    }

    /** Returns whether the VM was seen to take work at the last look. */
    public boolean isUp(String vm) {
        return up.contains(vm);
    }

    /** Returns for how long the VM has not been seen to take work, if it was looked for. */
    public Optional<Duration> notUpFor(String vm, Instant now) {
        return Optional.ofNullable(notUpSince.get(vm)).map(t -> Duration.between(t, now));
    }
}
