package org.chervillift.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.config.FleetConfig;

/** Computes the differences between two configurations. */
public final class ConfigDiff {

    private ConfigDiff() {}

    /** Returns the differences by kind and name, ignoring the versions. */
    public static List<ConfigChange> between(FleetConfig before, FleetConfig after) {
        Map<ItemKey, ConfigItem> itemsBefore = itemsByKey(before);
        Map<ItemKey, ConfigItem> itemsAfter = itemsByKey(after);
        List<ConfigChange> changes = new ArrayList<>();
        itemsBefore.forEach(
                (key, item) -> {
                    if (!itemsAfter.containsKey(key)) {
                        changes.add(new ConfigChange.Removed(key.kind(), key.name()));
                    }
                });
        itemsAfter.forEach((key, item) -> addChange(itemsBefore.get(key), item, changes));
        return List.copyOf(changes);
    }

    private static void addChange(ConfigItem before, ConfigItem after, List<ConfigChange> changes) {
        if (before == null) {
            changes.add(new ConfigChange.Added(after));
            return;
        }
        List<ConfigChange.FieldChange> fields = new ArrayList<>();
        after.fields()
                .forEach(
                        (field, value) -> {
                            String earlier = before.fields().get(field);
                            if (!value.equals(earlier)) {
                                fields.add(new ConfigChange.FieldChange(field, earlier, value));
                            }
                        });
        if (!fields.isEmpty()) {
            changes.add(new ConfigChange.Changed(after.kind(), after.name(), fields));
        }
    }

    private static Map<ItemKey, ConfigItem> itemsByKey(FleetConfig config) {
        Map<ItemKey, ConfigItem> items = new LinkedHashMap<>();
        for (ConfigItem item : ConfigItem.of(config)) {
            items.put(new ItemKey(item.kind(), item.name()), item);
        }
        return items;
    }

    private record ItemKey(ConfigItem.Kind kind, String name) {}
}
