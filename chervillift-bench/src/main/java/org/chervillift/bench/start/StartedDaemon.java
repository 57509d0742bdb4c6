package org.chervillift.bench.start;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.chervillift.api.Checks;
import org.chervillift.daemon.tasks.FleetSettings;
import org.chervillift.runtime.settings.HostPort;

/** A daemon as a process of its own, started by the command of the deploy file. */
final class StartedDaemon implements AutoCloseable {

    private final String name;
    private final HostPort readiness;
    private final Path log;
    private final Process process;
    private final long startedAt;

    /**
     * Starts a daemon.
     *
     * @param root the repository, in which the process runs
     * @param settings the settings file; the log goes into a file beside it
     * @param now the present time, in milliseconds
     */
    StartedDaemon(Path root, DeployedCommand command, Path settings, long now) {
        FleetSettings read = FleetSettings.read(settings);
        this.name = read.vm();
        this.readiness = read.readiness();
        this.log = Checks.notNull("settings", settings).resolveSibling(name + ".log");
        this.startedAt = now;
        try {
            this.process =
                    new ProcessBuilder(command.withSettings(settings.toAbsolutePath()))
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    HostPort readiness() {
        return readiness;
    }

    long startedAt() {
        return startedAt;
    }

    boolean hasEnded() {
        return !process.isAlive();
    }

    /** Returns the exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    /** Returns the processor time that the process has used so far, if the system tells it. */
    Duration processorTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns what the process has written so far. */
    String output() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
