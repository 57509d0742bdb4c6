import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

/**
 * A small deployment on loopback addresses: the platform's store, its list of machines, executors,
 * requesters, and daemons as separate processes. Follows PROTOCOL.md and DEPLOY.md.
 */
final class World implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();
    static final String IP = "127.0.0.1";

    final Path root;
    final Path temp;
    final Store store = new Store();
    final Cloud cloud = new Cloud();
    final Ledger ledger = new Ledger();
    final List<Daemon> daemons = new CopyOnWriteArrayList<>();
    private final PrintStream record;
    private final long startNanos = System.nanoTime();
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    World(Path root, Path recordFile) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.root = root;
        this.temp = Files.createTempDirectory("review-3-");
        this.record = new PrintStream(recordFile.toFile(), StandardCharsets.UTF_8);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopDaemons));
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String text) {
        record.printf("%9.3f  %s%n", now() / 1000.0, text);
        record.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Draws a port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(IP))) {
                return s.getLocalPort();
            } catch (BindException e) {
                // It is in use.
            }
        }
    }

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    interface Handler {
        void handle(HttpExchange exchange, JsonNode body) throws Exception;
    }

    HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(IP, port), 512);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext(
                "/",
                exchange -> {
                    try {
                        byte[] bytes = exchange.getRequestBody().readAllBytes();
                        handler.handle(
                                exchange,
                                bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes));
                    } catch (IOException e) {
                        // The caller has gone.
                    } catch (Exception e) {
                        log("stand-in failed: " + e);
                    } finally {
                        exchange.close();
                    }
                });
        server.start();
        servers.add(server);
        return server;
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.getResponseBody().close();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String part : text.split("&")) {
                int eq = part.indexOf('=');
                query.put(
                        part.substring(0, eq),
                        URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    /** The platform's store. */
    final class Store {
        private final Map<String, Row> rows = new TreeMap<>();
        private long version = 1;
        int port;
        volatile long answerMillis = 4;

        /** When a wait for changes of the operator's rows last began, in milliseconds. */
        volatile long operatorFeedAt;

        record Row(String table, String part, String key, String value, long version) {}

        void start() throws IOException {
            port = freePort();
            serve(port, this::handle);
        }

        private static String idOf(String table, String part, String key) {
            return table + "\0" + part + "\0" + key;
        }

        private static String idOf(JsonNode n) {
            return idOf(
                    n.path("table").asText(), n.path("part").asText(""), n.path("key").asText());
        }

        /** Writes a row as the operator or an executor does. */
        synchronized long put(String table, String key, JsonNode value) {
            String text =
                    Base64.getEncoder()
                            .encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
            version++;
            rows.put(idOf(table, "", key), new Row(table, "", key, text, version));
            notifyAll();
            return version;
        }

        synchronized void remove(String table, String key) {
            version++;
            rows.put(idOf(table, "", key), new Row(table, "", key, null, version));
            notifyAll();
        }

        private void handle(HttpExchange exchange, JsonNode body) throws Exception {
            sleep(answerMillis);
            switch (exchange.getRequestURI().getPath()) {
                case "/-/rows-tx" -> transact(exchange, body);
                case "/-/rows-get" -> get(exchange, query(exchange));
                case "/-/rows-feed" -> feed(exchange, query(exchange));
                default -> answer(exchange, 404, JSON.createObjectNode());
            }
        }

        private ObjectNode stamped() {
            return JSON.createObjectNode().put("row_version", version).put("now_ms", now() + 1_000);
        }

        private void transact(HttpExchange exchange, JsonNode body) throws IOException {
            int status = 200;
            ObjectNode answer;
            synchronized (this) {
                ArrayNode current = JSON.createArrayNode();
                boolean holds = true;
                for (JsonNode e : body.path("expected_revision")) {
                    Row row = rows.get(idOf(e));
                    boolean exists = row != null && row.value() != null;
                    holds &= e.path("row_version").asLong() == (exists ? row.version() : 0);
                    if (exists) {
                        current.add(toJson(row));
                    }
                }
                if (holds) {
                    version++;
                    for (JsonNode p : body.path("puts")) {
                        rows.put(
                                idOf(p),
                                new Row(
                                        p.path("table").asText(),
                                        p.path("part").asText(""),
                                        p.path("key").asText(),
                                        p.path("value").asText(),
                                        version));
                    }
                    for (JsonNode p : body.path("remove")) {
                        rows.put(
                                idOf(p),
                                new Row(
                                        p.path("table").asText(),
                                        p.path("part").asText(""),
                                        p.path("key").asText(),
                                        null,
                                        version));
                    }
                    notifyAll();
                    answer = stamped();
                } else {
                    status = 412;
                    answer = stamped();
                    answer.set("rows", current);
                }
            }
            answer(exchange, status, answer);
        }

        private ObjectNode toJson(Row row) {
            ObjectNode node =
                    JSON.createObjectNode()
                            .put("table", row.table())
                            .put("part", row.part())
                            .put("key", row.key())
                            .put("row_version", row.version());
            if (row.value() == null) {
                node.put("tombstone", true);
            } else {
                node.put("value", row.value());
            }
            return node;
        }

        private void get(HttpExchange exchange, Map<String, String> query) throws IOException {
            ObjectNode answer;
            synchronized (this) {
                answer = stamped();
                ArrayNode list = answer.putArray("rows");
                int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
                boolean more = false;
                for (Row row : rows.values()) {
                    boolean fits =
                            row.value() != null
                                    && row.table().equals(query.get("table"))
                                    && row.part().equals(query.getOrDefault("part", ""))
                                    && row.key().compareTo(query.getOrDefault("from", "")) >= 0
                                    && (!query.containsKey("target")
                                            || row.key().compareTo(query.get("target")) < 0);
                    if (fits && list.size() == limit) {
                        more = true;
                    } else if (fits) {
                        list.add(toJson(row));
                    }
                }
                answer.put("has_more", more);
            }
            answer(exchange, 200, answer);
        }

        private void feed(HttpExchange exchange, Map<String, String> query) throws Exception {
            if (query.get("table").equals("op")) {
                operatorFeedAt = now();
            }
            long after = Long.parseLong(query.get("after"));
            long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
            ObjectNode answer;
            synchronized (this) {
                List<Row> changed = changedAfter(query.get("table"), after);
                while (changed.isEmpty() && now() < until) {
                    wait(Math.max(1, until - now()));
                    changed = changedAfter(query.get("table"), after);
                }
                answer = stamped();
                ArrayNode list = answer.putArray("rows");
                changed.forEach(r -> list.add(toJson(r)));
            }
            answer(exchange, 200, answer);
        }

        private List<Row> changedAfter(String table, long after) {
            return rows.values().stream()
                    .filter(r -> r.table().equals(table) && r.version() > after)
                    .sorted(Comparator.comparingLong(Row::version))
                    .toList();
        }
    }

    /** What executors ran, for the check of the rules. */
    final class Ledger {

        static final class Started {
            final String task;
            final int run;
            final String executor;
            final long startedAt;
            long endedAt = Long.MAX_VALUE;
            String how = "running";
            long notedAt = Long.MAX_VALUE;

            Started(String task, int run, String executor, long startedAt) {
                this.task = task;
                this.run = run;
                this.executor = executor;
                this.startedAt = startedAt;
            }

            @Override
            public String toString() {
                return task + "#" + run + " on " + executor + " from " + startedAt / 1000.0 + " s"
                        + (endedAt == Long.MAX_VALUE
                                ? ""
                                : " to " + endedAt / 1000.0 + " s, " + how);
            }
        }

        final List<Started> all = new ArrayList<>();

        synchronized Started start(String task, int run, String executor) {
            Started s = new Started(task, run, executor, now());
            all.add(s);
            return s;
        }

        synchronized void end(Started s, String how) {
            s.endedAt = now();
            s.how = how;
        }

        synchronized List<Started> startsOf(String task) {
            return all.stream().filter(s -> s.task.equals(task)).toList();
        }

        /** Returns the tasks that run now. */
        synchronized List<String> runningTasks() {
            return all.stream()
                    .filter(s -> s.endedAt == Long.MAX_VALUE)
                    .map(s -> s.task)
                    .distinct()
                    .toList();
        }

        /** TWICE: two runs of a task at the same time, or a start after an end that was noted. */
        synchronized List<String> twice() {
            List<String> broken = new ArrayList<>();
            Map<String, List<Started>> byTask = new LinkedHashMap<>();
            all.forEach(s -> byTask.computeIfAbsent(s.task, t -> new ArrayList<>()).add(s));
            for (List<Started> runs : byTask.values()) {
                for (int i = 0; i < runs.size(); i++) {
                    for (int j = i + 1; j < runs.size(); j++) {
                        Started a = runs.get(i);
                        Started b = runs.get(j);
                        if (b.startedAt < a.endedAt) {
                            broken.add("at the same time: " + a + "; " + b);
                        } else if (a.how.equals("done") && a.notedAt != Long.MAX_VALUE) {
                            broken.add("after it was done: " + a + "; " + b);
                        }
                    }
                }
            }
            return broken;
        }
    }

    /** One machine of a pool, with the executor that is its life at a time. */
    final class Machine {
        final String name;
        final String zone;
        final String rack;
        final int cpu;
        final String kind;
        String pool;
        volatile String state = "up";
        volatile Worker worker;
        final List<String> upkeeps = new CopyOnWriteArrayList<>();

        Machine(String name, String pool, String zone, String rack, int cpu, String kind) {
            this.name = name;
            this.kind = kind;
            this.pool = pool;
            this.zone = zone;
            this.rack = rack;
            this.cpu = cpu;
        }

        ObjectNode capacity() {
            return JSON.createObjectNode().put("cpu", cpu).put("mem_mb", 65_536).put("gpu", 0);
        }

        ArrayNode labels() {
            return JSON.createArrayNode().add(kind).add(rack);
        }
    }

    /** An executor. */
    final class Worker {
        final Machine machine;
        final String id;
        final int port;
        private HttpServer server;
        private long born;
        private long clockBase;
        private long fence;
        private long leaseEnd;
        private long ends;
        private int sequence;
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<Ended> ended = new ArrayList<>();
        private volatile boolean up;
        private volatile int life;
        private volatile long cutAbove = Long.MAX_VALUE;
        private volatile long cutUntil;

        private final class Run {
            final String task;
            final int number;
            final long startedAt = now();
            final long workMillis;
            final int cpu;
            final Ledger.Started entry;
            long stopAt = Long.MAX_VALUE;

            Run(String task, int number, long workMillis, int cpu) {
                this.task = task;
                this.number = number;
                this.workMillis = workMillis;
                this.cpu = cpu;
                this.entry = ledger.start(task, number, id);
            }

            int percent() {
                long worked = now() - startedAt;
                return workMillis == 0
                        ? worked >= STARTUP_MILLIS ? 100 : 0
                        : (int) Math.min(99, 100 * worked / workMillis);
            }
        }

        private static final long STARTUP_MILLIS = 900;

        private record Ended(long number, String task, int run, String how, Ledger.Started entry) {}

        Worker(Machine machine, String id) throws IOException {
            this.machine = machine;
            this.id = id;
            this.port = freePort();
        }

        synchronized void start() throws IOException {
            born = System.currentTimeMillis();
            clockBase = now();
            fence = 0;
            leaseEnd = 0;
            ends = 0;
            sequence = 0;
            running.clear();
            highestEnded.clear();
            ended.clear();
            up = true;
            life++;
            server = serve(port, this::handle);
            machine.state = "up";
            machine.worker = this;
            log("executor " + id + " is up on " + machine.name + ", life " + life);
            register();
            int current = life;
            Thread.startVirtualThread(() -> live(current));
        }

        /** Ends at once, as a process that is killed. */
        void crash(String newState) {
            HttpServer old;
            synchronized (this) {
                up = false;
                machine.state = newState;
                old = server;
                running.values().forEach(r -> ledger.end(r.entry, "lost"));
                log("executor " + id + " ended with " + running.size() + " runs: " + newState);
                running.clear();
            }
            old.stop(0);
            servers.remove(old);
        }

        private void register() {
            store.put(
                    "servers",
                    id,
                    JSON.createObjectNode()
                            .put("backend", machine.pool)
                            .put("machine", machine.name)
                            .put("address", IP + ":" + port)
                            .put("zone", machine.zone)
                            .put("version", "1")
                            .put("slots", 8)
                            .put("state", "ready")
                            .put("cold_remaining_ms", 0)
                            .put("sequence", ++sequence)
                            .put("born", born)
                            .<ObjectNode>set("capacity", machine.capacity())
                            .set("labels", machine.labels()));
        }

        private void live(int current) {
            long beatAt = now() + 1_500;
            while (up && life == current) {
                sleep(10);
                synchronized (this) {
                    if (!up || life != current) {
                        return;
                    }
                    for (Run run : List.copyOf(running.values())) {
                        long age = now() - run.startedAt;
                        if (now() >= run.stopAt) {
                            end(run, "stopped");
                        } else if (run.workMillis > 0 && age >= run.workMillis) {
                            end(run, "done");
                        } else if (clock() > leaseEnd) {
                            end(run, "lapsed");
                        }
                    }
                }
                if (now() >= beatAt) {
                    beatAt += 1_500;
                    register();
                }
            }
        }

        private long clock() {
            return now() - clockBase;
        }

        private void end(Run run, String how) {
            running.remove(run.task);
            highestEnded.merge(run.task, run.number, Math::max);
            ended.add(new Ended(++ends, run.task, run.number, how, run.entry));
            ledger.end(run.entry, how);
            notifyAll();
        }

        private void handle(HttpExchange exchange, JsonNode body) throws Exception {
            String target = exchange.getRequestHeaders().getFirst("Chervillift-Target-Instance");
            if (target != null && !target.equals(id)) {
                answer(exchange, 421, JSON.createObjectNode());
                return;
            }
            if (body.path("fencing_token").asLong(0) > cutAbove && now() < cutUntil) {
                sleep(cutUntil - now());
                throw new IOException("The path was cut.");
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/-/hold" -> hold(exchange, body);
                case "/-/run-start" -> order(exchange, startRun(body));
                case "/-/run-stop" -> order(exchange, stopRun(body));
                case "/-/pace" -> order(exchange, "");
                default -> answer(exchange, 200, JSON.createObjectNode());
            }
        }

        private void order(HttpExchange exchange, String reason) throws IOException {
            ObjectNode body = JSON.createObjectNode().put("clock_ms", clock());
            if (!reason.isEmpty()) {
                body.put("reason", reason);
            }
            answer(exchange, reason.isEmpty() ? 200 : 409, body);
        }

        private boolean isFenced(JsonNode body) {
            long token = body.path("fencing_token").asLong(0);
            boolean fenced = token < fence;
            fence = Math.max(fence, token);
            return fenced;
        }

        private void extend(JsonNode body) {
            if (body.has("expires_ms")) {
                long wanted = body.path("expires_ms").asLong();
                leaseEnd = Math.max(leaseEnd, Math.min(wanted, clock() + MAX_HOLD_MILLIS));
            }
        }

        private synchronized String startRun(JsonNode body) throws IOException {
            if (!up) {
                throw new IOException("The executor has ended.");
            }
            if (isFenced(body)) {
                return "fence";
            }
            String task = body.path("task").asText();
            int number = body.path("run_id").asInt();
            Run known = running.get(task);
            if (known != null && known.number == number) {
                return "";
            }
            if (body.path("expires_ms").asLong() <= clock()) {
                return "late";
            }
            extend(body);
            if (number <= highestEnded.getOrDefault(task, 0)
                    || known != null && number <= known.number) {
                return "old";
            }
            if (advice.isNeeded(task) && !advice.isValid(task, id, body.path("ticket").asText())) {
                return "ticket";
            }
            JsonNode spec = JSON.readTree(body.path("spec").asText());
            int cpu = spec.path("cpu").asInt(1_000);
            int used = running.values().stream().mapToInt(r -> r.cpu).sum();
            if (used + cpu > machine.cpu) {
                return "room";
            }
            Run run = new Run(task, number, spec.path("ms").asLong(0), cpu);
            running.put(task, run);
            log("start " + task + "#" + number + " on " + id + ", life " + life);
            if (spec.path("deadly").asBoolean()) {
                crashUnder(task);
                throw new IOException("The executor has crashed.");
            }
            return "";
        }

        /** Ends while it begins a work unit, and is back after some seconds under a new id. */
        private void crashUnder(String task) {
            log("executor " + id + " crashes under " + task);
            up = false;
            Thread.startVirtualThread(() -> crashAndComeBack(this));
        }

        private synchronized String stopRun(JsonNode body) {
            if (isFenced(body)) {
                return "fence";
            }
            String task = body.path("task").asText();
            int number = body.path("run_id").asInt();
            highestEnded.merge(task, number, Math::max);
            Run run = running.get(task);
            if (run != null && run.number == number) {
                run.stopAt = Math.min(run.stopAt, now() + 50);
                log("stop " + task + "#" + number + " on " + id);
            }
            return "";
        }

        private void hold(HttpExchange exchange, JsonNode body) throws Exception {
            ObjectNode answer = JSON.createObjectNode();
            int status = 200;
            synchronized (this) {
                if (isFenced(body)) {
                    status = 409;
                    answer.put("clock_ms", clock()).put("reason", "fence");
                } else {
                    extend(body);
                    long seen = body.path("last_seen").asLong(0);
                    for (Ended e : ended) {
                        if (e.number() <= seen && e.entry().notedAt == Long.MAX_VALUE) {
                            e.entry().notedAt = now();
                        }
                    }
                    ended.removeIf(e -> e.number() <= seen);
                    long until = now() + Math.min(2_000, body.path("wait_ms").asLong(0));
                    int current = life;
                    while (ended.isEmpty() && now() < until && up && life == current) {
                        wait(Math.max(1, until - now()));
                    }
                    answer.put("born", born).put("clock_ms", clock());
                    ArrayNode list = answer.putArray("running");
                    for (Run r : running.values()) {
                        list.addArray().add(r.task).add(r.number).add("").add(r.percent()).add(0);
                    }
                    ArrayNode done = answer.putArray("ended_runs");
                    ended.stream()
                            .limit(500)
                            .forEach(
                                    e ->
                                            done.addArray()
                                                    .add(e.number())
                                                    .add(e.task())
                                                    .add(e.run())
                                                    .add(e.how())
                                                    .add(""));
                }
            }
            if (!up) {
                throw new IOException("The executor has ended.");
            }
            answer(exchange, status, answer);
        }

        /**
         * Cuts the path to machines of the system other than the one that gives orders now: calls of
         * the next one to give orders, which have a higher fence number, are not answered.
         */
        synchronized void cutFromNextHolder(long millis) {
            cutAbove = fence;
            cutUntil = now() + millis;
            log("executor " + id + " loses the path to the next machine that gives orders");
        }

        synchronized long leaseLeftMillis() {
            return leaseEnd - clock();
        }

        /** Returns the tasks that are at work: past their startup. */
        synchronized List<String> atWork() {
            return running.values().stream()
                    .filter(r -> r.percent() >= 100)
                    .map(r -> r.task)
                    .toList();
        }

        boolean isUp() {
            return up;
        }

        synchronized boolean hasRuns() {
            return !running.isEmpty();
        }
    }

    static final long MAX_HOLD_MILLIS = 6_000;

    /** The platform's list of machines, and the orders for them. */
    final class Cloud {
        final Map<String, Machine> machines = new ConcurrentHashMap<>();
        int port;
        volatile long answerMillis = 10;
        volatile LongSupplier orderDelay = () -> 0;
        volatile long upkeepMillis = 2_000;
        volatile long moveMillis = 1_500;
        private int nextId = 0x10000;
        final List<String> endedByUpkeep = new CopyOnWriteArrayList<>();
        volatile Runnable onUpkeep = () -> {};

        void start() throws IOException {
            port = freePort();
            serve(port, this::handle);
        }

        Worker add(String name, String pool, String zone, String rack, int cpu)
                throws IOException {
            return add(name, pool, zone, rack, cpu, "kind-1");
        }

        Worker add(String name, String pool, String zone, String rack, int cpu, String kind)
                throws IOException {
            Machine machine = new Machine(name, pool, zone, rack, cpu, kind);
            machines.put(name, machine);
            return newWorker(machine);
        }

        synchronized Worker newWorker(Machine machine) throws IOException {
            Worker worker = new Worker(machine, "i-" + Integer.toHexString(nextId++));
            worker.start();
            return worker;
        }

        private void handle(HttpExchange exchange, JsonNode body) throws Exception {
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/-/machines")) {
                list(exchange);
            } else if (path.equals("/-/machine-move")) {
                order(exchange, body, "move");
            } else if (path.equals("/-/machine-upkeep")) {
                order(exchange, body, "upkeep");
            } else {
                answer(exchange, 404, JSON.createObjectNode());
            }
        }

        /** Reads the list when the call arrives; its answer takes its time. */
        private void list(HttpExchange exchange) throws Exception {
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode list = answer.putArray("machines");
            machines.values().stream()
                    .sorted(Comparator.comparing(m -> m.name))
                    .forEach(
                            m -> {
                                ObjectNode node =
                                        list.addObject()
                                                .put("machine", m.name)
                                                .put("pool", m.pool)
                                                .put("state", m.state)
                                                .put("zone", m.zone);
                                node.set("labels", m.labels());
                                node.set("capacity", m.capacity());
                                if (m.state.equals("up")) {
                                    node.put("id", m.worker.id);
                                }
                            });
            sleep(answerMillis);
            answer(exchange, 200, answer);
        }

        private void order(HttpExchange exchange, JsonNode body, String kind) throws Exception {
            String holder = exchange.getRequestHeaders().getFirst("Chervillift-Duty-Holder");
            String token = exchange.getRequestHeaders().getFirst("Chervillift-Fencing-Token");
            Machine machine = machines.get(body.path("machine").asText());
            log(kind + " " + body + " by " + holder + " with " + token);
            sleep(orderDelay.getAsLong());
            int status = machine == null ? 400 : carryOut(machine, kind, body);
            sleep(answerMillis);
            ObjectNode answer = JSON.createObjectNode();
            if (status == 409) {
                answer.put("reason", "busy");
            }
            answer(exchange, status, answer);
        }

        private synchronized int carryOut(Machine machine, String kind, JsonNode body) {
            String wave = body.path("wave").asText();
            boolean done =
                    kind.equals("upkeep")
                            ? machine.upkeeps.contains(wave)
                            : machine.pool.equals(body.path("pool").asText());
            if (done) {
                return 200;
            }
            if (!machine.state.equals("up")) {
                return 409;
            }
            Worker old = machine.worker;
            if (kind.equals("upkeep")) {
                endedByUpkeep.addAll(old.atWork());
                log("the upkeep of " + machine.name + " ends " + old.atWork() + ", whose lease had "
                        + old.leaseLeftMillis() + " ms to go");
                onUpkeep.run();
            }
            old.crash(kind.equals("upkeep") ? "upkeep" : "moving");
            store.remove("servers", old.id);
            long millis = moveMillis;
            if (kind.equals("upkeep")) {
                machine.upkeeps.add(wave);
                millis = upkeepMillis;
            } else {
                machine.pool = body.path("pool").asText();
            }
            long away = millis;
            Thread.startVirtualThread(
                    () -> {
                        sleep(away);
                        try {
                            newWorker(machine);
                        } catch (IOException e) {
                            log("no executor on " + machine.name + ": " + e);
                        }
                    });
            return 200;
        }
    }

    /** The service that knows which executors may run a step; here all may. */
    final class Advice {
        int port;
        volatile long validityMillis = 30_000;
        final Map<String, Long> validUntil = new ConcurrentHashMap<>();

        void start() throws IOException {
            port = freePort();
            serve(port, this::handle);
        }

        /** Answers one call at a time. */
        private synchronized void handle(HttpExchange exchange, JsonNode body) throws Exception {
            String step = body.path("step").asText();
            JsonNode asked = body.path("workers");
            sleep(50 + 5L * asked.size());
            ObjectNode answer = JSON.createObjectNode().put("validity_ms", validityMillis);
            ArrayNode allowed = answer.putArray("allowed");
            for (JsonNode worker : asked) {
                String ticket = step + "/" + worker.asText();
                validUntil.put(ticket, now() + validityMillis);
                allowed.addArray().add(worker.asText()).add(ticket);
            }
            log("advice for " + step + " on " + asked.size() + " executors");
            answer(exchange, 200, answer);
        }

        /** The steps that it was asked about are those of queues with placement advice. */
        boolean isNeeded(String task) {
            String step = task.substring(0, task.lastIndexOf('.')) + "/";
            return validUntil.keySet().stream().anyMatch(t -> t.startsWith(step));
        }

        boolean isValid(String task, String worker, String ticket) {
            String step = task.substring(0, task.lastIndexOf('.'));
            return ticket.equals(step + "/" + worker)
                    && validUntil.getOrDefault(ticket, 0L) > now();
        }
    }

    final Advice advice = new Advice();

    /** Forwards connections; those that are open can be made silent, while new ones work. */
    final class Proxy {
        final int port;
        private final int target;
        private final Collection<Link> links = new CopyOnWriteArrayList<>();

        private final class Link {
            volatile boolean silent;
        }

        Proxy(int target) throws IOException {
            this.target = target;
            ServerSocket listener =
                    new ServerSocket(freePort(), 512, InetAddress.getByName(IP));
            this.port = listener.getLocalPort();
            Thread.startVirtualThread(
                    () -> {
                        while (true) {
                            try {
                                connect(listener.accept());
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        private void connect(Socket from) throws IOException {
            Socket to = new Socket(IP, target);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            Link link = new Link();
            links.add(link);
            Thread.startVirtualThread(() -> pump(link, from, to));
            Thread.startVirtualThread(() -> pump(link, to, from));
        }

        private void pump(Link link, Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                while (true) {
                    int n = from.getInputStream().read(buffer);
                    if (link.silent) {
                        // Nothing passes any more, not even the end of the connection.
                        if (n < 0) {
                            return;
                        }
                        continue;
                    }
                    if (n < 0) {
                        break;
                    }
                    to.getOutputStream().write(buffer, 0, n);
                }
            } catch (IOException e) {
                // One side is gone.
            }
            if (!link.silent) {
                close(from);
                close(to);
            }
        }

        private static void close(Socket socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        /** All open connections carry nothing more. */
        void silence() {
            log("all " + links.size() + " channels so far go silent");
            links.forEach(l -> l.silent = true);
            links.clear();
        }
    }

    /** An entry VM of the system. */
    final class Daemon {
        final String name;
        final String zone;
        final int front;
        final int ready;
        final int metrics;
        final int storePort;
        final int cloudPort;
        private Process process;

        Daemon(String name, String zone, int storePort, int cloudPort) throws IOException {
            this.name = name;
            this.zone = zone;
            this.storePort = storePort;
            this.cloudPort = cloudPort;
            this.front = freePort();
            this.ready = freePort();
            this.metrics = freePort();
            daemons.add(this);
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            Path settings = temp.resolve(name + ".ini");
            Files.writeString(
                    settings,
                    """
                    [vm]
                    id = %s
                    data-centre = %s
                    link-mbps = 1000.0
                    [callers]
                    address = %s
                    [readiness]
                    address = %s
                    [metrics]
                    address = %s
                    [store]
                    address = %s
                    max-row-bytes = 65536
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
                    [placement]
                    remote-factor = 1.5
                    [shutdown]
                    grace-s = 6
                    [pools]
                    forecast-surges = on
                    """
                            .formatted(
                                    name,
                                    zone,
                                    IP + ":" + front,
                                    IP + ":" + ready,
                                    IP + ":" + metrics,
                                    IP + ":" + storePort,
                                    IP + ":" + cloudPort,
                                    advice.port > 0 ? IP + ":" + advice.port : ""));
            String run =
                    Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                            .filter(l -> l.startsWith("run = "))
                            .findFirst()
                            .orElseThrow();
            List<String> command =
                    new ArrayList<>(
                            Arrays.asList(
                                    run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                                            .split(" ")));
            command.set(command.size() - 1, settings.toString());
            process =
                    new ProcessBuilder(command)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            temp.resolve(name + ".log").toFile()))
                            .start();
            log("daemon " + name + " is started");
        }

        void signal(String signal) throws Exception {
            log("daemon " + name + " gets " + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        void awaitEnd() throws InterruptedException {
            process.waitFor();
            log("daemon " + name + " has ended");
        }

        boolean isReady() {
            return call(ready, "GET", "/-/readiness", "any", "", "", 1_000).status() == 200;
        }

        String output() throws IOException {
            return Files.readString(temp.resolve(name + ".log"));
        }
    }

    record Answer(int status, String body) {}

    private static final long BACK_AFTER_MILLIS = 3_000;

    /** An executor crashes; after some seconds its machine has another one. */
    void crashAndComeBack(Worker worker) {
        lose(worker);
        sleep(BACK_AFTER_MILLIS);
        try {
            cloud.newWorker(worker.machine);
        } catch (IOException e) {
            log("no executor on " + worker.machine.name + ": " + e);
        }
    }

    /** An executor is lost for good; its entry is removed after three check-in intervals. */
    void lose(Worker worker) {
        worker.crash("down");
        Thread.startVirtualThread(
                () -> {
                    sleep(4_500);
                    store.remove("servers", worker.id);
                });
    }

    /** A request of a requester; status 0 if no whole answer came. */
    Answer request(Daemon at, String method, String path, String key, String body) {
        return call(at.front, method, path, HOST, key, body, 5_000);
    }

    static final String HOST = "queues.example";

    private Answer call(
            int port,
            String method,
            String path,
            String host,
            String key,
            String body,
            long millis) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + IP + ":" + port + path))
                            .version(HttpClient.Version.HTTP_1_1)
                            .timeout(Duration.ofMillis(millis))
                            .setHeader("Host", host)
                            .header("Chervillift-Deadline-Ms", "3000");
            if (!key.isEmpty()) {
                request.header("Authorization", "Bearer " + key);
            }
            request.method(
                    method,
                    body.isEmpty()
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(body));
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            if (millis > 1_000) {
                log(method + " " + path + " at port " + port + " got no answer: " + e);
            }
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until all daemons are ready and one has read all jobs as the holder. */
    boolean awaitReady(long millis) throws IOException {
        long until = now() + millis;
        while (now() < until) {
            boolean ready = daemons.stream().allMatch(Daemon::isReady);
            boolean held = holder() != null;
            if (ready && held) {
                return true;
            }
            sleep(100);
        }
        return false;
    }

    /** Returns the daemon of the newest holder, as the lease row of the product names it. */
    Daemon holder() {
        synchronized (store) {
            return store.rows.values().stream()
                    .filter(r -> r.table().equals("holder") && r.key().equals("lease"))
                    .filter(r -> r.value() != null)
                    .map(r -> new String(Base64.getDecoder().decode(r.value())))
                    .flatMap(v -> daemons.stream().filter(d -> v.contains("\"" + d.name + "\"")))
                    .findFirst()
                    .orElse(null);
        }
    }

    private void stopDaemons() {
        for (Daemon daemon : daemons) {
            if (daemon.isAlive()) {
                daemon.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        stopDaemons();
        servers.forEach(s -> s.stop(0));
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(temp)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(temp);
        } else {
            log("logs are in " + temp);
        }
        record.close();
    }
}
