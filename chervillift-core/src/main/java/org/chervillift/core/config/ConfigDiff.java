package org.chervillift.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.config.FleetConfig;

/** Works out what a change of configuration does. */
public final class ConfigDiff {

    private ConfigDiff() {}

    /** Returns the differences, by kind and name; the versions do not matter. */
    public static List<Change> between(FleetConfig before, FleetConfig after) {
        Map<Id, ConfigItem> old = index(before);
        Map<Id, ConfigItem> young = index(after);
        List<Change> changes = new ArrayList<>();
        old.forEach(
                (id, item) -> {
                    if (!young.containsKey(id)) {
                        changes.add(new Change.Removed(id.kind(), id.name()));
                    }
                });
        young.forEach((id, item) -> addChange(old.get(id), item, changes));
        return List.copyOf(changes);
    }

    private static void addChange(ConfigItem before, ConfigItem after, List<Change> changes) {
        if (before == null) {
            changes.add(new Change.Added(after));
            return;
        }
        List<Change.FieldChange> fields = new ArrayList<>();
        after.fields()
                .forEach(
                        (field, value) -> {
                            String earlier = before.fields().get(field);
                            if (!value.equals(earlier)) {
                                fields.add(new Change.FieldChange(field, earlier, value));
                            }
                        });
        if (!fields.isEmpty()) {
            changes.add(new Change.Changed(after.kind(), after.name(), fields));
        }
    }

    private static Map<Id, ConfigItem> index(FleetConfig config) {
        Map<Id, ConfigItem> items = new LinkedHashMap<>();
        for (ConfigItem item : ConfigItem.of(config)) {
            items.put(new Id(item.kind(), item.name()), item);
        }
        return items;
    }

    private record Id(ConfigItem.Kind kind, String name) {}
}
