package org.chervillift.daemon.tasks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Reloads the settings on request, and when their file has changed. */
final class SettingsReloader {

    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Path file;
    private final Consumer<FleetSettings> onChange;
    private FleetSettings current;
    private FileTime lastReadModification;

    SettingsReloader(Path file, FleetSettings current, Consumer<FleetSettings> onChange) {
        this.file = Checks.notNull("file", file);
        this.current = Checks.notNull("current", current);
        this.onChange = Checks.notNull("onChange", onChange);
        this.lastReadModification = lastModified();
    }

    /** Checks the file periodically, and reloads it when its modification time has changed. */
    void watch(Scheduler scheduler) {
        scheduler.schedule(
                CHECK_INTERVAL,
                () -> {
                    // First, so that a reload that throws does not end the checks.
                    watch(scheduler);
                    if (!lastModified().equals(lastReadModification)) {
                        reload();
                    }
                });
    }

    /** Reads the file; settings with errors are logged and not applied. */
    void reload() {
        lastReadModification = lastModified();
        try {
            FleetSettings newest = FleetSettings.read(file);
            boolean changed = !newest.equals(current);
            EventLog.log(TaskEvent.SETTINGS_RELOADED, Field.of("changed", changed));
            if (changed) {
                current = newest;
                onChange.accept(newest);
            }
        } catch (ChervilliftException e) {
            EventLog.log(TaskEvent.SETTINGS_REJECTED, Field.of("why", e.getMessage()));
        }
    }

    private FileTime lastModified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return FileTime.fromMillis(0);
        }
    }
}
