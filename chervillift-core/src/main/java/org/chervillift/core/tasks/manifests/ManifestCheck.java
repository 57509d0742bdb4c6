package org.chervillift.core.tasks.manifests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;

/**
 * Finds entries of a configuration that contradict each other, or can have no effect.
 *
 * <p>Addresses configurations by which jobs are rejected or never start although each entry by
 * itself is well formed.
 */
public final class ManifestCheck {

    /** What the path of a job has behind the prefix of its route, or the beginning of it. */
    private static final Pattern JOB_ID_START = Pattern.compile("[0-9a-fA-F]{1,16}");

    private final Manifest manifest;
    private final List<Finding> findings = new ArrayList<>();

    private ManifestCheck(Manifest manifest) {
        this.manifest = manifest;
    }

    /**
     * Returns what is wrong with a configuration.
     *
     * @param inForce the configuration in force, if it is known
     */
    public static List<Finding> findings(Manifest manifest, Optional<Manifest> inForce) {
        ManifestCheck check = new ManifestCheck(manifest);
        check.checkRoutes();
        check.checkQueues();
        check.checkPools();
        check.checkCustomers();
        inForce.ifPresent(check::checkAgainst);
        return List.copyOf(check.findings);
    }

    private void error(String entry, String sentence) {
        findings.add(Finding.error(entry, sentence));
    }

    private void warning(String entry, String sentence) {
        findings.add(Finding.warning(entry, sentence));
    }

    private void checkRoutes() {
        List<QueueRoute> routes = manifest.routes();
        for (int i = 0; i < routes.size(); i++) {
            QueueRoute route = routes.get(i);
            for (int j = 0; j < routes.size(); j++) {
                QueueRoute other = routes.get(j);
                if (i != j && other.host().equals(route.host())) {
                    checkHidden(route, other, j < i);
                }
            }
        }
    }

    /** Checks a route against another of the same host; the longest prefix gets a path. */
    private void checkHidden(QueueRoute route, QueueRoute other, boolean otherIsFirst) {
        String prefix = route.pathPrefix();
        if (other.pathPrefix().equals(prefix)) {
            if (otherIsFirst) {
                error(text(route), "It never matches: " + text(other) + " has the same prefix.");
            }
            return;
        }
        boolean takesJobs =
                other.pathPrefix().startsWith(prefix)
                        && JOB_ID_START
                                .matcher(other.pathPrefix().substring(prefix.length()))
                                .matches();
        if (takesJobs) {
            error(text(route), text(other) + " gets the jobs whose path begins with its prefix.");
        }
    }

    private static String text(QueueRoute route) {
        return "route " + route.host() + route.pathPrefix() + " of " + queue(route.policy());
    }

    private static String queue(QueuePolicy policy) {
        return "queue " + policy.queue();
    }

    private void checkQueues() {
        Map<String, QueuePolicy> seen = new HashMap<>();
        for (QueueRoute route : manifest.routes()) {
            QueuePolicy policy = route.policy();
            QueuePolicy first = seen.putIfAbsent(policy.queue(), policy);
            if (first == null) {
                checkQueue(policy);
            } else if (!first.equals(policy)) {
                error(queue(policy), "Its routes differ; jobs are treated as the first one says.");
            }
        }
    }

    private void checkQueue(QueuePolicy policy) {
        String entry = queue(policy);
        PoolPolicy pool = manifest.pools().get(policy.pool());
        if (pool == null) {
            error(entry, "Its jobs never start: there is no pool " + policy.pool() + ".");
        } else if (pool.standby()) {
            error(entry, "Its jobs never start: the VMs of pool " + pool.name() + " are off.");
        }
        if (!(policy.stretchFactor() >= 1)) {
            warning(
                    entry,
                    "Its stretch factor is below 1: a job may be late although it never waits.");
        }
    }

    private void checkPools() {
        Set<String> used =
                manifest.routes().stream()
                        .map(r -> r.policy().pool())
                        .collect(Collectors.toCollection(TreeSet::new));
        new TreeMap<>(manifest.pools())
                .values().stream()
                        .filter(p -> !p.standby() && !used.contains(p.name()))
                        .forEach(p -> warning("pool " + p.name(), "No queue uses it."));
    }

    private void checkCustomers() {
        Map<String, String> owners = new HashMap<>();
        for (Customer customer : new TreeMap<>(manifest.customers()).values()) {
            String entry = "customer " + customer.name();
            if (customer.keys().isEmpty()) {
                warning(entry, "It has no key, so that it cannot hand in jobs.");
            }
            for (String key : customer.keys()) {
                String owner = owners.putIfAbsent(key, customer.name());
                if (owner != null) {
                    error(entry, "It shares a key with customer " + owner + ".");
                }
            }
        }
        boolean needsKeys = manifest.routes().stream().anyMatch(r -> !r.openToAll());
        if (needsKeys && owners.isEmpty()) {
            error("customers", "No key is in force, and a route needs one.");
        }
    }

    private void checkAgainst(Manifest inForce) {
        if (manifest.version() <= inForce.version()) {
            error(
                    "version",
                    "It is " + manifest.version() + ", and " + inForce.version() + " is in force.");
        }
    }
}
