package org.chervillift.core.config;

import java.util.List;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;

/** One difference between two configurations. */
public sealed interface Change {

    /** Returns what the thing is. */
    ConfigItem.Kind kind();

    /** Returns the name of the thing. */
    String name();

    /** Returns the difference as one plain line. */
    String line();

    /**
     * A thing that only the later configuration has.
     *
     * @param item the thing
     */
    record Added(ConfigItem item) implements Change {
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
        public String line() {
            String fields =
                    item.fields().entrySet().stream()
                            .map(e -> e.getKey() + " " + e.getValue())
                            .collect(Collectors.joining(", "));
            return "add " + kind().word() + " " + name() + ": " + fields;
        }
    }

    /**
     * A thing that only the earlier configuration has.
     *
     * @param kind what it is
     * @param name its name
     */
    record Removed(ConfigItem.Kind kind, String name) implements Change {
        public Removed {
            Checks.notNull("kind", kind);
            Checks.notBlank("name", name);
        }

        @Override
        public String line() {
            return "remove " + kind.word() + " " + name;
        }
    }

    /**
     * A thing that both configurations have with other fields.
     *
     * @param kind what it is
     * @param name its name
     * @param fields the fields that differ, at least one
     */
    record Changed(ConfigItem.Kind kind, String name, List<FieldChange> fields) implements Change {
        public Changed {
            Checks.notNull("kind", kind);
            Checks.notBlank("name", name);
            fields = List.copyOf(fields);
            Checks.that(!fields.isEmpty(), "fields must not be empty");
        }

        @Override
        public String line() {
            String parts =
                    fields.stream()
                            .map(f -> f.field() + " from " + f.before() + " to " + f.after())
                            .collect(Collectors.joining(", "));
            return "change " + kind.word() + " " + name + ": " + parts;
        }
    }

    /**
     * A field with its two values.
     *
     * @param field the name that the sheet gives it
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
