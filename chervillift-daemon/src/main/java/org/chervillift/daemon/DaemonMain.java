package org.chervillift.daemon;

import io.activej.eventloop.Eventloop;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chervillift.daemon.internal.Daemon;
import org.chervillift.daemon.internal.DaemonEvent;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.daemon.internal.SettingsProgram;
import org.chervillift.http.Reactors;
import org.chervillift.runtime.events.EventLog;

/** The main class of the program {@code chervilliftd}, the daemon on an entry VM. */
public final class DaemonMain {

    private static final String USAGE = "usage: chervilliftd [--check] SETTINGS.ini";
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final long SHUTDOWN_MARGIN_SECONDS = 10;

    private DaemonMain() {}

    /** Runs the program and exits with its exit code if that is not 0. */
    public static void main(String[] args) {
        int exitCode = run(args, System.out, System.err);
        if (exitCode != EXIT_OK) {
            System.exit(exitCode);
        }
    }

    /**
     * Reads the settings, and serves requests until the process is asked to stop.
     *
     * @return the exit code
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        return new SettingsProgram<>(
                        USAGE,
                        file -> DaemonSettings.from(DaemonSettings.SCHEMA.read(file)),
                        (settings, file) -> serve(settings))
                .run(args, out, err);
    }

    private static void serve(DaemonSettings settings) {
        Eventloop reactor =
                Reactors.create(
                        "daemon", error -> EventLog.log(DaemonEvent.UNEXPECTED_ERROR, error));
        Daemon daemon = new Daemon(reactor, settings);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> shutDownAndHalt(reactor, daemon, settings),
                                "graceful-shutdown"));
        reactor.keepAlive(true);
        reactor.post(
                () ->
                        daemon.start(DaemonMain::logAndHalt)
                                .whenComplete(
                                        (ignored, error) -> {
                                            if (error != null) {
                                                logAndHalt(error);
                                            }
                                        }));
        reactor.run();
    }

    private static void logAndHalt(Throwable error) {
        EventLog.log(DaemonEvent.FAILED, error);
        Runtime.getRuntime().halt(EXIT_FAILED);
    }

    /** Waits for the graceful shutdown, so that the process exits with code 0 after SIGTERM. */
    private static void shutDownAndHalt(Eventloop reactor, Daemon daemon, DaemonSettings settings) {
        CountDownLatch stopped = new CountDownLatch(1);
        reactor.execute(
                () -> daemon.shutdown().whenComplete((ignored, error) -> stopped.countDown()));
        long timeoutSeconds =
                settings.drainDelay().plus(settings.drainTimeout()).toSeconds()
                        + SHUTDOWN_MARGIN_SECONDS;
        try {
            boolean shutDownInTime = stopped.await(timeoutSeconds, TimeUnit.SECONDS);
            Runtime.getRuntime().halt(shutDownInTime ? EXIT_OK : EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
