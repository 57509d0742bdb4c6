package org.chervillift.daemon.tasks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own, with the classes of the tests. */
record DaemonProcess(Process process) implements AutoCloseable {

    private static final String SETTINGS =
            """
            [vm]
            id = edge-1
            data-centre = z1
            link-mbps = 1000
            [callers]
            address = 127.0.0.1:0
            [readiness]
            address = %s
            [metrics]
            address = %s
            [store]
            address = 127.0.0.1:1
            max-row-bytes = 65536
            [vms]
            address = 127.0.0.1:1
            take-turns-after-ms = 3000
            maintenance-s = 2
            move-s = 1.5
            [workers]
            max-lease-ms = 6000
            stop-timeout-ms = 400
            [jobs]
            cancel-within-ms = 3000
            keep-finished-s = 120
            [shutdown]
            grace-s = 6
            """;

    private static final long MAX_SECONDS = 40;
    private static final int PIPE_BYTES = 65_536;

    /**
     * Starts a daemon whose store refuses all connections.
     *
     * @param directory where its settings file is put
     */
    static DaemonProcess start(Path directory, String readiness, String metrics)
            throws IOException {
        return start(List.of(), directory, readiness, metrics);
    }

    /** Starts such a daemon whose standard output takes no byte more. */
    static DaemonProcess startWithFullOutput(Path directory, String readiness, String metrics)
            throws IOException {
        String fill = "head -c %d /dev/zero; exec \"$@\"".formatted(PIPE_BYTES);
        return start(List.of("sh", "-c", fill, "sh"), directory, readiness, metrics);
    }

    private static DaemonProcess start(
            List<String> prefix, Path directory, String readiness, String metrics)
            throws IOException {
        Path settings = directory.resolve("edge-1.ini");
        Files.writeString(settings, SETTINGS.formatted(readiness, metrics));
        List<String> command = new ArrayList<>(prefix);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Dlog4j2.configurationFile=log4j2-fleet.properties",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FleetDaemonMain.class.getName(),
                        settings.toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        // A test that reads the output of a process that says nothing must end.
        CompletableFuture.delayedExecutor(MAX_SECONDS, TimeUnit.SECONDS)
                .execute(process::destroyForcibly);
        return new DaemonProcess(process);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
