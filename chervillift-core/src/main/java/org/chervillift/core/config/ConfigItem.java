package org.chervillift.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Objective;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.api.config.VmSpec;

/**
 * One item of a configuration, with its fields as text.
 *
 * @param kind its kind
 * @param name its name, unique within the kind
 * @param fields the field values by the name of the field in the sheet, ordered by name
 */
public record ConfigItem(Kind kind, String name, SortedMap<String, String> fields) {

    private static final Comparator<ConfigItem> ORDER =
            Comparator.comparing(ConfigItem::kind).thenComparing(ConfigItem::name);

    public ConfigItem {
        Checks.notNull("kind", kind);
        Checks.notBlank("name", name);
        fields = Collections.unmodifiableSortedMap(new TreeMap<>(fields));
    }

    /** The kind of an item. */
    public enum Kind {
        /** A team that submits requests. */
        TEAM,
        /** A pool of VMs. */
        POOL,
        /** A queue. */
        QUEUE,
        /** A VM. */
        VM,
        /** A service-level objective. */
        OBJECTIVE;

        /** Returns the name of the kind in the sheet. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Returns all items of a configuration, ordered by kind and name. */
    public static List<ConfigItem> of(FleetConfig config) {
        List<ConfigItem> items = new ArrayList<>();
        config.teams().forEach(t -> items.add(team(t)));
        config.pools().forEach(p -> items.add(pool(p)));
        config.queues().forEach(q -> items.add(queue(q)));
        config.vms().forEach(v -> items.add(vm(v)));
        config.objectives().forEach(o -> items.add(objective(o)));
        items.sort(ORDER);
        return items;
    }

    private static ConfigItem team(Team t) {
        return item(Kind.TEAM, t.name(), Map.of("share", t.share(), "limit", t.limit()));
    }

    private static ConfigItem pool(Pool p) {
        return item(
                Kind.POOL,
                p.name(),
                Map.of("min_available_percent", p.minAvailablePercent(), "spare", p.spare()));
    }

    private static ConfigItem queue(Queue q) {
        return item(Kind.QUEUE, q.name(), Map.of("pool", q.pool(), "open", q.open()));
    }

    private static ConfigItem vm(VmSpec v) {
        return item(
                Kind.VM,
                v.id(),
                Map.of(
                        "pool", v.pool(),
                        "data_centre", v.dataCentre(),
                        "rack", v.rack(),
                        "address", v.address(),
                        "slots", v.slots()));
    }

    private static ConfigItem objective(Objective o) {
        return item(
                Kind.OBJECTIVE,
                o.queue(),
                Map.of("good_percent", o.goodPercent(), "within_ms", o.withinMillis()));
    }

    private static ConfigItem item(Kind kind, String name, Map<String, Object> values) {
        SortedMap<String, String> fields = new TreeMap<>();
        values.forEach((field, value) -> fields.put(field, text(value)));
        return new ConfigItem(kind, name, fields);
    }

    private static String text(Object value) {
        if (value instanceof Boolean b) {
            return b ? "yes" : "no";
        }
        return value.toString();
    }
}
