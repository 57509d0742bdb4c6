package org.chervillift.bench.load;

import java.time.Duration;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.runtime.settings.HostPort;

/**
 * What a load does.
 *
 * @param entries the entry VMs that callers send to
 * @param ledger an upstream that shares the ledger of all upstreams
 * @param queue the queue
 * @param key the key of the team
 * @param team the team
 * @param limit the upper limit of the team
 * @param callers callers that each have one request in flight
 * @param workMillis how long a request runs at an upstream, in milliseconds
 * @param length how long new requests are begun
 * @param seed the seed of all choices
 */
public record LoadPlan(
        List<HostPort> entries,
        HostPort ledger,
        String queue,
        String key,
        String team,
        int limit,
        int callers,
        int workMillis,
        Duration length,
        long seed) {
    public LoadPlan {
        entries = List.copyOf(entries);
        Checks.that(!entries.isEmpty(), "entries must not be empty");
        Checks.notNull("ledger", ledger);
        Checks.notBlank("queue", queue);
        Checks.notBlank("key", key);
        Checks.notBlank("team", team);
        Checks.inRange("callers", callers, 1, 10_000);
        Checks.notNegative("workMillis", workMillis);
        Checks.notNull("length", length);
    }
}
