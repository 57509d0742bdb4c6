import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the project's program, one process an entry machine, with the command of the deploy file. */
final class Daemons {

    private final Path folder;
    private final List<Entry> entries = new ArrayList<>();
    private final Fleet.Site site;
    private boolean closed;

    /** An entry machine: its process and its ports. */
    final class Entry {
        final String name;
        final int front;
        final int ready;
        private final int metrics;
        private final int storePort;
        private final int cloudPort;
        Process process;

        Entry(String name, int storePort, int cloudPort) throws IOException {
            this.name = name;
            this.front = freePort();
            this.ready = freePort();
            this.metrics = freePort();
            this.storePort = storePort;
            this.cloudPort = cloudPort;
        }

        void start() throws IOException {
            synchronized (Daemons.this) {
                if (!closed) {
                    startProcess();
                }
            }
        }

        private void startProcess() throws IOException {
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, settings());
            List<String> command = command();
            command.set(command.size() - 1, settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> env = builder.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("CHERVILLIFT_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
        }

        /** Sends SIGTERM, and SIGKILL after the time that the settings give; starts it again. */
        void restart() throws IOException, InterruptedException {
            process.destroy();
            if (!process.waitFor(6, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
            HttpStandIn.pause(500);
            start();
        }

        private String settings() {
            return String.join(
                    "\n",
                    "[vm]",
                    "id = " + name,
                    "data-centre = scot-a",
                    "link-mbps = 1000.0",
                    "[callers]",
                    "address = 127.0.0.1:" + front,
                    "[readiness]",
                    "address = 127.0.0.1:" + ready,
                    "[metrics]",
                    "address = 127.0.0.1:" + metrics,
                    "[store]",
                    "address = 127.0.0.1:" + storePort,
                    "max-row-bytes = 65536",
                    "[vms]",
                    "address = 127.0.0.1:" + cloudPort,
                    "take-turns-after-ms = 3000",
                    "maintenance-s = 2",
                    "move-s = 1.5",
                    "[advice]",
                    "address =",
                    "[workers]",
                    "max-lease-ms = " + site.maxHoldMillis(),
                    "stop-timeout-ms = " + site.stopTimeoutMillis(),
                    "[jobs]",
                    "cancel-within-ms = 3000",
                    "keep-finished-s = 120",
                    "[shutdown]",
                    "grace-s = 6",
                    "");
        }
    }

    Daemons(Path folder, Fleet.Site site) {
        this.site = site;
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    Entry add(String name, int storePort, int cloudPort) throws IOException {
        Entry entry = new Entry(name, storePort, cloudPort);
        entries.add(entry);
        return entry;
    }

    List<Entry> entries() {
        return entries;
    }

    /** Waits until all entry machines report ready; returns false after a timeout. */
    boolean awaitReady(long timeoutMillis) {
        long until = Clock.now() + timeoutMillis;
        while (Clock.now() < until) {
            boolean all = true;
            for (Entry e : entries) {
                all &= Client.status(e.ready, "GET", "/-/readiness", "any", "", "") == 200;
            }
            if (all) {
                return true;
            }
            HttpStandIn.pause(100);
        }
        return false;
    }

    /** Ends all processes for good. */
    synchronized void killAll() {
        closed = true;
        for (Entry e : entries) {
            if (e.process != null) {
                e.process.destroyForcibly();
            }
        }
        for (Entry e : entries) {
            try {
                if (e.process != null) {
                    e.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException x) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the words of the command in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(Arrays.asList(text.split(" ")));
            }
        }
        throw new IOException("The deploy file has no line 'run'.");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
