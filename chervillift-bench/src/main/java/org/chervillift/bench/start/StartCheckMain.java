package org.chervillift.bench.start;

import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chervillift.api.ChervilliftException;
import org.chervillift.bench.archive.FreePorts;
import org.chervillift.bench.archive.LocalPlatform;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.HttpStatus;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.platform.fleet.ReadinessServlet;
import org.chervillift.runtime.settings.HostPort;

/**
 * Starts two daemons as the deploy file says, and tells when each is ready, or why it is not.
 *
 * <p>The platform is a stand-in in this process. The exit code is 0 if both daemons are ready in
 * time.
 */
public final class StartCheckMain {

    private static final String USAGE = "usage: StartCheckMain ROOT WITHIN_SECONDS";
    private static final Path SETTINGS = Path.of("deploy", "class-archive.ini");
    private static final String SETTINGS_VM = "class-archive";

    /** The port that stands for the platform in the settings. */
    private static final String PLATFORM_PORT = "4";

    private static final List<String> VMS = List.of("edge-1", "edge-2");
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILED = 1;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long INTERVAL_MILLIS = 50;

    private final Path root;
    private final ReactorThread thread;
    private final Path directory;
    private final String platform = FreePorts.address();

    private StartCheckMain(Path root, ReactorThread thread, Path directory) {
        this.root = root;
        this.thread = thread;
        this.directory = directory;
    }

    /** Runs the check. */
    public static void main(String[] args) throws IOException {
        if (args.length != 2) {
            System.err.println(USAGE);
            System.exit(EXIT_USAGE);
        }
        Path directory = Files.createTempDirectory("start-check-");
        boolean ready;
        try (ReactorThread thread = new ReactorThread("start-check")) {
            StartCheckMain check = new StartCheckMain(Path.of(args[0]), thread, directory);
            LocalPlatform.start(thread, HostPort.parse(check.platform));
            ready = check.startDaemons(Duration.ofSeconds(Long.parseLong(args[1])));
        } finally {
            delete(directory);
        }
        System.exit(ready ? 0 : EXIT_FAILED);
    }

    private static void delete(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    /** Starts the daemons; returns whether all of them were ready in time. */
    private boolean startDaemons(Duration within) throws IOException {
        DeployedCommand command = DeployedCommand.read(root);
        List<StartedDaemon> daemons = new ArrayList<>();
        try {
            for (String vm : VMS) {
                daemons.add(new StartedDaemon(root, command, settingsOf(vm), nowMillis()));
            }
            boolean ready = true;
            for (StartedDaemon daemon : daemons) {
                ready &= awaitReady(daemon, within);
            }
            return ready;
        } finally {
            daemons.forEach(StartedDaemon::close);
        }
    }

    private Path settingsOf(String vm) throws IOException {
        String text = Files.readString(root.resolve(SETTINGS)).replace(SETTINGS_VM, vm);
        Path file = directory.resolve(vm + ".ini");
        Files.writeString(file, FreePorts.replacedIn(text, Map.of(PLATFORM_PORT, platform)));
        return file;
    }

    private boolean awaitReady(StartedDaemon daemon, Duration within) {
        JsonClient client =
                new JsonClient(thread.reactor(), daemon.readiness(), TIMEOUT, Optional.empty());
        Answer answer = new Answer(0, "no answer yet");
        while (nowMillis() - daemon.startedAt() < within.toMillis() && !daemon.hasEnded()) {
            answer = ask(client);
            if (answer.status() == HttpStatus.OK) {
                System.out.printf(
                        "%s ready after %d ms, %d ms of processor time%n",
                        daemon.name(),
                        nowMillis() - daemon.startedAt(),
                        daemon.processorTime().toMillis());
                return true;
            }
            pause();
        }
        String state =
                daemon.hasEnded()
                        ? "has ended with code " + daemon.exitCode()
                        : "is not ready: " + answer.text();
        System.out.printf("%s %s%n%s%n", daemon.name(), state, daemon.output());
        return false;
    }

    /** What the daemon answers about its readiness; the status is 0 if it does not answer. */
    private record Answer(int status, String text) {}

    private Answer ask(JsonClient client) {
        try {
            HttpAnswer answer =
                    thread.await(() -> client.send(HttpMethod.GET, ReadinessServlet.PATH));
            return new Answer(answer.status(), answer.body());
        } catch (ChervilliftException e) {
            return new Answer(0, e.getMessage());
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
