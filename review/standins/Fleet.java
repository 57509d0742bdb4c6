import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;

/** A small deployment: the store, the list of machines, executors and entry VMs. */
final class Fleet {

    static final String DESK = "desk";
    static final String HUB = "hub";
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path dir;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Daemon> daemons = new ArrayList<>();
    final ConcurrentLinkedQueue<Worker.Run> started = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Worker.Run> ended = new ConcurrentLinkedQueue<>();
    private final List<Worker> inUpkeep = new ArrayList<>();
    private int executors;
    private Set<String> allowedMachines;
    /** The zones that are cut off from the others; each entry VM is in a zone of its own. */
    private final Set<String> cutZones = ConcurrentHashMap.newKeySet();
    /** The address of the advice service, or empty. */
    String advice = "";

    Fleet() throws Exception {
        dir = Files.createTempDirectory("review");
        store = new Store();
    }

    /** Opens a way to the list of machines, and returns its address. */
    private String openMachines(BooleanSupplier cut) throws Exception {
        return Http.address(Http.serve(cut, (method, path, query, body, x) -> {
            if (path.equals("/-/machines")) {
                Map<String, Object> page = new LinkedHashMap<>();
                synchronized (workers) {
                    List<Object> machines = new ArrayList<>();
                    workers.forEach(w -> machines.add(w.listed()));
                    inUpkeep.forEach(w -> {
                        Map<String, Object> m = new LinkedHashMap<>(w.listed());
                        m.put("state", "upkeep");
                        m.remove("id");
                        machines.add(m);
                    });
                    page.put("machines", machines);
                }
                page.put("next_page_token", null);
                return new Http.Answer(200, page);
            }
            if (path.equals("/-/machine-upkeep")) {
                return upkeep(body.path("machine").asText());
            }
            Record.line("CLOUD " + path + " " + body);
            return new Http.Answer(409, Map.of("reason", "busy"));
        }));
    }

    private Http.Answer upkeep(String machine) {
        synchronized (workers) {
            Worker worker = workers.stream().filter(w -> w.machine.equals(machine)).findFirst().orElse(null);
            if (worker == null) {
                return new Http.Answer(409, Map.of("reason", "busy"));
            }
            Record.line("UPKEEP of " + machine + " begins, executor " + worker.id + " ends");
            workers.remove(worker);
            inUpkeep.add(worker);
            worker.leave();
            Thread.startVirtualThread(() -> {
                sleep(2_000);
                synchronized (workers) {
                    inUpkeep.remove(worker);
                    try {
                        workers.add(newWorker(machine, worker.zone, worker.pool, worker.cpu));
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            return new Http.Answer(200, Map.of());
        }
    }

    private Worker newWorker(String machine, String zone, String pool, int cpu) throws Exception {
        Worker w = new Worker(store, "i-%08d".formatted(++executors), machine, zone, pool, cpu, started::add,
                ended::add);
        if (allowedMachines != null) {
            w.ticketCheck = (step, ticket) -> ticket.startsWith("t-" + w.id + "-" + step + "-")
                    && Long.parseLong(ticket.substring(ticket.lastIndexOf('-') + 1)) >= Record.nowMillis();
        }
        Record.line("EXECUTOR " + w.id + " joins on " + machine);
        return w;
    }

    /** The advice service: allows the executors of some machines, whatever the step. */
    HttpServer startAdvice(Set<String> machines) throws Exception {
        allowedMachines = machines;
        return Http.serve((method, path, query, body, x) -> {
            synchronized (allowedMachines) {
                List<Object> allowed = new ArrayList<>();
                int named = 0;
                for (JsonNode id : body.path("workers")) {
                    named++;
                    synchronized (workers) {
                        workers.stream()
                                .filter(w -> w.id.equals(id.asText()) && allowedMachines.contains(w.machine))
                                .forEach(w -> allowed.add(List.of(w.id, "t-" + w.id + "-" + body.path("step").asText()
                                        + "-" + (Record.nowMillis() + 3_000))));
                    }
                }
                sleep(20 + 5L * named);
                Record.line("ADVICE " + body + " -> allowed " + allowed);
                return new Http.Answer(200, Map.of("allowed", allowed, "validity_ms", 3_000));
            }
        });
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs a case within the stated time, ends all processes and exits. */
    interface Body {
        int run(Fleet fleet) throws Exception;
    }

    static void main(Path record, Body body) {
        int code = NOT_RUN;
        Fleet fleet = null;
        try {
            Record.open(record);
            fleet = new Fleet();
            Record.line("TROUBLE=" + (fleet.trouble ? 1 : 0));
            Thread.ofPlatform().daemon().start(() -> {
                sleep(115_000);
                System.out.println("The case took too long.");
                Daemon.endAll();
                Runtime.getRuntime().halt(NOT_RUN);
            });
            code = body.run(fleet);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Record.say(code == BROKEN ? "BROKEN" : code == HELD ? "HELD" : "NOT RUN");
        Daemon.endAll();
        try {
            if (fleet != null && System.getenv("KEEP") != null) {
                System.out.println("Logs: " + fleet.dir);
            } else if (fleet != null) {
                try (var files = Files.list(fleet.dir)) {
                    for (Path f : files.toList()) {
                        Files.delete(f);
                    }
                }
                Files.delete(fleet.dir);
            }
        } catch (Exception e) {
            System.out.println("The temporary folder is left: " + e);
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    /** Adds executors of the first service. */
    void addWorkers(int count, int cpu) throws Exception {
        for (int i = 0; i < count; i++) {
            addWorker("z1", DESK, cpu);
        }
    }

    Worker addWorker(String zone, String service, int cpu) throws Exception {
        synchronized (workers) {
            Worker worker = newWorker("m-" + (executors + 1), zone, service, cpu);
            workers.add(worker);
            return worker;
        }
    }

    /** Cuts a zone off from the others, or ends that. Requesters reach it all the while. */
    void cutZone(String zone, boolean value) {
        Record.line("ZONE " + zone + (value ? " is cut off" : " is reached again"));
        if (value) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
        workers.stream().filter(w -> w.zone.equals(zone)).forEach(w -> w.zoneCut(value));
    }

    /** Writes the manifest: one queue; tenants with their caps of thousandths of a core. */
    void putManifest(long version, Map<String, Integer> tenants) throws Exception {
        putManifest(version, DESK, tenants);
    }

    /** Writes the manifest with the service that runs the queue's work units. */
    void putManifest(long version, String backend, Map<String, Integer> tenants) throws Exception {
        List<Object> list = new ArrayList<>();
        tenants.forEach((name, cap) -> list.add(Map.of("name", name, "api_keys", List.of("key-of-" + name), "priority",
                1, "weight", 200, "cap", Map.of("cpu", cap, "mem_mb", 0, "gpu", 0))));
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-1");
        route.put("host", "127.0.0.1");
        route.put("path_prefix", "/desk/");
        route.put("route_type", "non_idempotent");
        route.put("timeout_ms", 3000);
        route.put("target_latency_ms", 600);
        route.put("priority", 0);
        route.put("backend", backend);
        route.put("max_attempts", 4);
        route.put("stretch_factor", 1.6);
        route.put("public", false);
        if (!advice.isEmpty()) {
            route.put("placement_advice", Map.of("decision_ms", 20, "period_ms", 5, "validity_ms", 3_000));
        }
        Map<String, Object> manifest = new LinkedHashMap<>();
        manifest.put("version", version);
        manifest.put("routes", List.of(route));
        manifest.put("services", List.of(service(DESK), service(HUB)));
        manifest.put("limits", Map.of("max_header_bytes", 16384, "max_body_bytes", 262144, "header_timeout_ms", 3000,
                "idle_timeout_ms", 15000));
        manifest.put("tenants", list);
        store.put("op", "config", Http.JSON.writeValueAsString(manifest));
        Record.line("OPERATOR manifest " + version + " backend " + backend + " tenants " + tenants);
    }

    private static Map<String, Object> service(String name) {
        return Map.of("name", name, "health_path", "/health", "max_connections", 64, "protocol", "h1", "tls", false,
                "enforces_capacity", true, "standby", false);
    }

    void startDaemons(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String zone = "z" + (daemons.size() + 1);
            BooleanSupplier cut = () -> cutZones.contains(zone);
            Daemon d = new Daemon("edge-" + (daemons.size() + 1), zone, dir, store.open(cut), openMachines(cut),
                    advice);
            daemons.add(d);
            d.start();
        }
        for (Daemon d : daemons) {
            require(() -> d.isReady(), 20_000, d.name + " is not ready");
        }
        require(() -> holder() != null, 10_000, "no holder");
    }

    /** Starts processes that have ended by themselves again, and counts these by machine. */
    void restartEnded(Map<String, Integer> ends) throws Exception {
        for (Daemon d : daemons) {
            if (!d.isAlive()) {
                ends.merge(d.name, 1, Integer::sum);
                Record.line("DAEMON " + d.name + " has ended by itself with code " + d.exitCode());
                d.start();
            }
        }
    }

    Daemon holder() {
        try {
            for (Daemon d : daemons) {
                if (d.isHolder()) {
                    return d;
                }
            }
            return null;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    Daemon other(Daemon than) {
        return daemons.stream().filter(d -> d != than && d.isAlive()).findFirst().orElseThrow();
    }

    static boolean await(BooleanSupplier done, long millis) {
        long until = Record.nowMillis() + millis;
        while (Record.nowMillis() < until) {
            if (done.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return done.getAsBoolean();
    }

    static void require(BooleanSupplier done, long millis, String what) {
        if (!await(done, millis)) {
            throw new IllegalStateException(what);
        }
    }

    /** Returns the JSON of a job whose work units work for some milliseconds. */
    static String job(long workMillis, int count, int cpu) {
        return "{\"spec\":\"" + workMillis + "\",\"steps\":[" + step(workMillis, count, cpu) + "]}";
    }

    static String step(long workMillis, int count, int cpu) {
        return "{\"count\":" + count + ",\"cpu\":" + cpu + ",\"mem_mb\":64,\"estimated_ms\":" + workMillis + "}";
    }

    static String id(long n) {
        return "%016x".formatted(0x5c0e7a2100000000L + n);
    }
}
