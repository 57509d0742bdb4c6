package org.chervillift.core.tasks.manifests;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueueRoute;

/** Tells in which entries two configurations differ; keys are counted and not shown. */
public final class ManifestDifferences {

    private final List<String> lines = new ArrayList<>();

    private ManifestDifferences() {}

    /** Returns one line for each entry that is added, removed or changed. */
    public static List<String> between(Manifest inForce, Manifest next) {
        ManifestDifferences differences = new ManifestDifferences();
        differences.compare("route", routes(inForce), routes(next));
        differences.compare("pool", inForce.pools(), next.pools());
        differences.compareCustomers(inForce.customers(), next.customers());
        if (inForce.maxBodyBytes() != next.maxBodyBytes()) {
            differences.changed(
                    "longest request", inForce.maxBodyBytes() + " B", next.maxBodyBytes() + " B");
        }
        return List.copyOf(differences.lines);
    }

    private static Map<String, QueueRoute> routes(Manifest manifest) {
        return manifest.routes().stream()
                .collect(
                        Collectors.toMap(
                                r -> r.host() + r.pathPrefix(), r -> r, (first, hidden) -> first));
    }

    private <T> void compare(String kind, Map<String, T> before, Map<String, T> after) {
        for (String name : names(before, after)) {
            T old = before.get(name);
            T newest = after.get(name);
            if (old == null) {
                lines.add(kind + " " + name + " is added: " + newest);
            } else if (newest == null) {
                lines.add(kind + " " + name + " is removed.");
            } else if (!old.equals(newest)) {
                changed(kind + " " + name, old, newest);
            }
        }
    }

    private static Set<String> names(Map<String, ?> before, Map<String, ?> after) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names;
    }

    private void changed(String entry, Object before, Object after) {
        lines.add(entry + " changes from " + before + " to " + after);
    }

    private void compareCustomers(Map<String, Customer> before, Map<String, Customer> after) {
        compare("customer", withoutKeys(before), withoutKeys(after));
        for (String name : names(before, after)) {
            if (before.containsKey(name) && after.containsKey(name)) {
                compareKeys(name, before.get(name).keys(), after.get(name).keys());
            }
        }
    }

    private static Map<String, Customer> withoutKeys(Map<String, Customer> customers) {
        Map<String, Customer> shown = new TreeMap<>();
        customers.forEach(
                (name, c) -> shown.put(name, new Customer(name, Set.of(), c.weight(), c.limit())));
        return shown;
    }

    private void compareKeys(String customer, Set<String> before, Set<String> after) {
        Set<String> added = new HashSet<>(after);
        added.removeAll(before);
        Set<String> removed = new HashSet<>(before);
        removed.removeAll(after);
        if (!added.isEmpty() || !removed.isEmpty()) {
            lines.add(
                    "customer "
                            + customer
                            + " gets "
                            + added.size()
                            + " keys and loses "
                            + removed.size()
                            + ".");
        }
    }
}
