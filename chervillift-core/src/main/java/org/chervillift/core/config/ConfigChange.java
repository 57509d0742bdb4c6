package org.chervillift.core.config;

import java.util.List;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;

/** One difference between two configurations. */
public sealed interface ConfigChange {

    /** Returns the kind of the item. */
    ConfigItem.Kind kind();

    /** Returns the name of the item. */
    String name();

    /** Returns the difference as one line of text. */
    String describe();

    /**
     * An item that only the later configuration has.
     *
     * @param item the item
     */
    record Added(ConfigItem item) implements ConfigChange {
        public Added {
            Checks.notNull("item", item);
        }

        @Override
        public ConfigItem.Kind kind() {
            return item.kind();
        }

        @Override
        public String name() {
            return item.name();
        }

        @Override
        public String describe() {
            String fields =
                    item.fields().entrySet().stream()
                            .map(e -> e.getKey() + " " + e.getValue())
                            .collect(Collectors.joining(", "));
            return "add " + kind().label() + " " + name() + ": " + fields;
        }
    }

    /**
     * An item that only the earlier configuration has.
     *
     * @param kind its kind
     * @param name its name
     */
    record Removed(ConfigItem.Kind kind, String name) implements ConfigChange {
        public Removed {
            Checks.notNull("kind", kind);
            Checks.notBlank("name", name);
        }

        @Override
        public String describe() {
            return "remove " + kind.label() + " " + name;
        }
    }

    /**
     * An item that both configurations have, with different fields.
     *
     * @param kind its kind
     * @param name its name
     * @param fields the fields that differ, at least one
     */
    record Changed(ConfigItem.Kind kind, String name, List<FieldChange> fields)
            implements ConfigChange {
        public Changed {
            Checks.notNull("kind", kind);
            Checks.notBlank("name", name);
            fields = List.copyOf(fields);
            Checks.that(!fields.isEmpty(), "fields must not be empty");
        }

        @Override
        public String describe() {
            String parts =
                    fields.stream()
                            .map(f -> f.field() + " from " + f.before() + " to " + f.after())
                            .collect(Collectors.joining(", "));
            return "change " + kind.label() + " " + name + ": " + parts;
        }
    }

    /**
     * The values of one field in the two configurations.
     *
     * @param field the name of the field in the sheet
     * @param before the earlier value
     * @param after the later value
     */
    record FieldChange(String field, String before, String after) {
        public FieldChange {
            Checks.notBlank("field", field);
            Checks.notNull("before", before);
            Checks.notNull("after", after);
        }
    }
}
