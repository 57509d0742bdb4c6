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
 * Which VMs accepted requests at the last health check, and which of the checked VMs did not.
 *
 * <p>The platform's list lags behind, so a VM that is only missing from the list is unknown: it
 * counts as unavailable but not as failed.
 *
 * @param up the VMs that accepted requests at the last check
 * @param silentSince for each checked VM that does not report that it accepts requests, when it
 *     first did not
 * @param seenAt the time of the last check
 */
public record FleetHealth(Set<String> up, Map<String, Instant> silentSince, Instant seenAt) {

    /** The health before the first check: every VM counts as unavailable. */
    public static final FleetHealth UNKNOWN = new FleetHealth(Set.of(), Map.of(), Instant.EPOCH);

    public FleetHealth {
        up = Set.copyOf(up);
        silentSince = Map.copyOf(silentSince);
        Checks.notNull("seenAt", seenAt);
    }

    /**
     * Returns the health after another check.
     *
     * @param checked the VMs that were checked directly
     * @param accepting those of them that reported that they accept requests
     * @param upNow the VMs that count as available, by their own answers and by the list
     */
    public FleetHealth afterCheck(
            Collection<String> checked, Set<String> accepting, Set<String> upNow, Instant now) {
        Map<String, Instant> since = new HashMap<>();
        for (String vm : checked) {
            if (!accepting.contains(vm)) {
                since.put(vm, silentSince.getOrDefault(vm, now));
            }
        }
        return new FleetHealth(upNow, since, now);
    }

    /** Returns this health, or {@link #UNKNOWN} if the last check is older than the given age. */
    public FleetHealth asOf(Instant now, Duration maxAge) {
        return seenAt.plus(maxAge).isBefore(now) ? UNKNOWN : this;
    }

    /** Returns whether the VM accepted requests at the last check. */
    public boolean isUp(String vm) {
        return up.contains(vm);
    }

    /** Returns for how long a checked VM has not reported that it accepts requests. */
    public Optional<Duration> silentFor(String vm, Instant now) {
        return Optional.ofNullable(silentSince.get(vm)).map(t -> Duration.between(t, now));
    }
}
