package org.chervillift.runtime.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.chervillift.api.ChervilliftException;

/**
 * All settings of a program.
 *
 * @param settings the settings, unique by path
 */
public record SettingsSchema(List<Setting> settings) {

    public SettingsSchema {
        settings = List.copyOf(settings);
        Set<String> paths = new HashSet<>();
        for (Setting s : settings) {
            if (!paths.add(s.path())) {
                throw new IllegalArgumentException("setting twice: " + s.path());
            }
        }
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException with all errors of the file at once
     */
    public Settings read(Path file) {
        String name = file.getFileName().toString();
        try (Reader reader = Files.newBufferedReader(file)) {
            return read(name, reader);
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(
                            new SettingError(
                                    name, "-", "-", "", "The file cannot be read.", "a file")));
        }
    }

    /**
     * Reads and checks INI text.
     *
     * @param fileName the name that errors carry
     * @throws SettingsException with all errors of the text at once
     */
    public Settings read(String fileName, Reader reader) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (ConfigurationException e) {
            throw new SettingsException(
                    List.of(
                            new SettingError(
                                    fileName, "-", "-", "", "This is not INI text.", "INI text")));
        }
        return check(fileName, ini);
    }

    private Settings check(String fileName, INIConfiguration ini) {
        List<SettingError> errors = new ArrayList<>();
        Map<String, Object> values = new HashMap<>();
        for (Setting s : settings) {
            readOne(fileName, ini, s, values, errors);
        }
        findUnknown(fileName, ini, errors);
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
        return new Settings(values);
    }

    private static void readOne(
            String fileName,
            INIConfiguration ini,
            Setting s,
            Map<String, Object> values,
            List<SettingError> errors) {
        Object raw = ini.getSection(s.section()).getProperty(escape(s.name()));
        String allowed = s.type().allowed();
        if (raw instanceof List<?>) {
            errors.add(error(fileName, s, raw.toString(), "It is given twice.", allowed));
            return;
        }
        Optional<String> text = textOf(raw, s);
        if (text.isEmpty()) {
            errors.add(error(fileName, s, "", "It is missing.", allowed));
            return;
        }
        try {
            values.put(s.path(), s.type().parse(text.get().strip()));
        } catch (ChervilliftException e) {
            errors.add(error(fileName, s, text.get(), "The value is not allowed.", allowed));
        }
    }

    /** Returns the text of a setting; one that is blank or absent has its default, if any. */
    private static Optional<String> textOf(Object raw, Setting s) {
        boolean blank = raw == null || raw.toString().isBlank();
        return blank && s.defaultValue().isPresent()
                ? s.defaultValue()
                : Optional.ofNullable(raw).map(Object::toString);
    }

    private static SettingError error(
            String fileName, Setting s, String value, String problem, String allowed) {
        return new SettingError(fileName, s.section(), s.name(), value, problem, allowed);
    }

    private void findUnknown(String fileName, INIConfiguration ini, List<SettingError> errors) {
        Set<String> known = new HashSet<>();
        settings.forEach(s -> known.add(s.path()));
        for (String section : ini.getSections()) {
            SubnodeConfiguration part = ini.getSection(section);
            part.getKeys()
                    .forEachRemaining(
                            k -> {
                                String name = k.replace("..", ".");
                                if (!known.contains(section + "." + name)) {
                                    errors.add(unknown(fileName, section, name, part.getString(k)));
                                }
                            });
        }
    }

    private SettingError unknown(String fileName, String section, String name, String value) {
        List<String> names =
                settings.stream()
                        .filter(s -> s.section().equals(section))
                        .map(Setting::name)
                        .toList();
        String allowed = names.isEmpty() ? "no such section" : String.join(", ", names);
        return new SettingError(
                fileName,
                section == null ? "-" : section,
                name,
                value,
                "There is no such setting.",
                allowed);
    }

    private static String escape(String name) {
        return name.replace(".", "..");
    }
}
