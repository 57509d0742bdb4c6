package org.chervillift.api.config;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * The whole configuration at one version.
 *
 * @param version grows by one with each accepted change; 0 is the empty configuration
 * @param teams the teams, unique by name
 * @param pools the pools, unique by name
 * @param queues the queues, unique by name
 * @param vms the VMs, unique by identifier
 * @param objectives the service-level objectives, at most one a queue
 */
public record FleetConfig(
        long version,
        List<Team> teams,
        List<Pool> pools,
        List<Queue> queues,
        List<VmSpec> vms,
        List<Objective> objectives) {

    /** The configuration before the first sheet. */
    public static final FleetConfig EMPTY =
            new FleetConfig(0, List.of(), List.of(), List.of(), List.of(), List.of());

    public FleetConfig {
        Checks.notNegative("version", version);
        teams = List.copyOf(teams);
        pools = List.copyOf(pools);
        queues = List.copyOf(queues);
        vms = List.copyOf(vms);
        objectives = List.copyOf(objectives);
    }

    /** Returns the same content under another version. */
    public FleetConfig withVersion(long newVersion) {
        return new FleetConfig(newVersion, teams, pools, queues, vms, objectives);
    }

    /** Returns the team of that name. */
    public Optional<Team> team(String name) {
        return teams.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** Returns the queue of that name. */
    public Optional<Queue> queue(String name) {
        return queues.stream().filter(q -> q.name().equals(name)).findFirst();
    }

    /** Returns the pool of that name. */
    public Optional<Pool> pool(String name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst();
    }
}
