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
 * Which VMs were seen to take work, and which did not say so themselves.
 *
 * <p>The list lags, so a VM that only the list does not show is unknown: it counts as unavailable,
 * but it does not count as failed.
 *
 * @param up the VMs that were seen to take work at the last look
 * @param silentSince when each VM that was asked first did not say that it takes work
 * @param seenAt the time of the last look
 */
public record FleetHealth(Set<String> up, Map<String, Instant> silentSince, Instant seenAt) {

    /** Nothing has been seen yet, so every VM counts as unavailable. */
    public static final FleetHealth UNKNOWN = new FleetHealth(Set.of(), Map.of(), Instant.EPOCH);

    public FleetHealth {
        up = Set.copyOf(up);
        silentSince = Map.copyOf(silentSince);
        Checks.notNull("seenAt", seenAt);
    }

    /**
     * Returns the health after another look.
     *
     * @param watched the VMs that were asked themselves
     * @param answering those of them that said that they take work
     * @param upNow the VMs that count as available, by their own answers and by the list
     */
    public FleetHealth afterCheck(
            Collection<String> watched, Set<String> answering, Set<String> upNow, Instant now) {
        Map<String, Instant> since = new HashMap<>();
        for (String vm : watched) {
            if (!answering.contains(vm)) {
                since.put(vm, silentSince.getOrDefault(vm, now));
            }
        }
        return new FleetHealth(upNow, since, now);
    }

    /** Returns the health as it may be used now: too old a look tells nothing. */
    public FleetHealth asOf(Instant now, Duration mostAge) {
        return seenAt.plus(mostAge).isBefore(now) ? UNKNOWN : this;
    }

    /** Returns whether the VM was seen to take work at the last look. */
    public boolean isUp(String vm) {
        return up.contains(vm);
    }

    /** Returns for how long the VM has not said that it takes work, if it was asked. */
    public Optional<Duration> silentFor(String vm, Instant now) {
        return Optional.ofNullable(silentSince.get(vm)).map(t -> Duration.between(t, now));
    }
}
