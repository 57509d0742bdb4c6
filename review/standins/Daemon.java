import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** An entry VM: the project's program, started with the command of deploy/system.toml. */
final class Daemon {

    private static final List<Process> STARTED = new ArrayList<>();
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> TAKEN = new HashSet<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Daemon::endAll));
    }

    final String name;
    final String zone;
    final String front;
    private final String ready;
    private final Path settings;
    private final Path log;
    private Process process;

    Daemon(String name, String zone, Path dir, String store, String vms, String advice) throws IOException {
        this.name = name;
        this.zone = zone;
        this.front = freeAddress();
        this.ready = freeAddress();
        this.settings = dir.resolve(name + ".ini");
        this.log = dir.resolve(name + ".log");
        // As platform/settings.ini.template gives them, with the bounds of clydeform-grid.
        Files.writeString(settings, """
                [vm]
                id = %s
                data-centre = %s
                link-mbps = 1000
                [callers]
                address = %s
                [readiness]
                address = %s
                [metrics]
                address = %s
                [store]
                address = %s
                [vms]
                address = %s
                take-turns-after-ms = 3000
                maintenance-s = 2
                move-s = 1.5
                [advice]
                address = %s
                [workers]
                max-lease-ms = 6000
                stop-timeout-ms = 400
                [jobs]
                cancel-within-ms = 3000
                keep-finished-s = 120
                [shutdown]
                grace-s = 6
                """.formatted(name, zone, front, ready, freeAddress(), store, vms, advice));
    }

    /**
     * Returns a loopback address with a free port, below those that the system gives to connections, so
     * that none takes it before the program does.
     */
    private static synchronized String freeAddress() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst().orElseThrow()
                .replaceAll("^run = \"|\"$", "");
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.replaceAll(w -> w.equals("/etc/chervillift/local.toml") ? settings.toString() : w);
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .redirectInput(new File("/dev/null"))
                .start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        Record.line("DAEMON " + name + " starts");
    }

    void kill() {
        Record.line("DAEMON " + name + " is killed");
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code, or -1 while it runs. */
    int exitCode() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    boolean isReady() {
        return Client.status(ready, "/-/readiness") == 200;
    }

    /** Returns whether its log says that it is the holder now. */
    boolean isHolder() throws IOException {
        if (!Files.exists(log) || !process.isAlive()) {
            return false;
        }
        boolean held = false;
        for (String line : Files.readAllLines(log)) {
            held = line.contains("event=7030") || (held && !line.contains("event=7031"));
        }
        return held;
    }

    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }
}
