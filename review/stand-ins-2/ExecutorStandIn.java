import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A machine and its executor, which runs work units as the users' protocol page says: it guards its
 * capacity, obeys fence numbers, run numbers and its lease, and lists ends until they are taken note
 * of.
 */
final class ExecutorStandIn {

    private static final int MAX_ENDS = 500;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int SILENT_HEARTBEATS = 3;
    private static final long UPKEEP_MILLIS = 2_000;
    private static final long MOVE_MILLIS = 1_500;
    /** The pool whose machines are off. */
    static final String STANDBY = "lohu93e";
    private static final ScheduledExecutorService TIMERS =
            Executors.newScheduledThreadPool(2, Thread.ofPlatform().daemon().factory());

    /** What a work unit needs, and how it goes on this executor. */
    interface Work {
        long cpu(String task);

        long memory(String task);

        /** Returns how long a run takes, in milliseconds. */
        long millis(String task, int run, ExecutorStandIn executor);

        /** Returns whether runs last until they are stopped; the time is then that of the startup. */
        boolean lasts(String task);

        /** Is told of a lasting work unit that was at work and has been ended by an upkeep. */
        void endedByUpkeep(String task);

        /** Is told of a lasting work unit that is at work after its startup. */
        void atWork(String task);
    }

    private final StoreStandIn store;
    private final Record record;
    private final Work work;
    private final HttpStandIn server = new HttpStandIn();
    private final String machine;
    private volatile String pool;
    private final String zone;
    private final String rack;
    private final long cpu;
    private final long memory;
    private final long maxHoldMillis;
    private Life life;
    private int lives;
    private volatile String state = "down";

    /** One lifetime of the executor. */
    private final class Life {
        private final String id;
        private final long born = System.currentTimeMillis();
        private final long clockStart = Clock.now();
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<End> ends = new ArrayList<>();
        private long fence;
        private long leaseEnd;
        private long endCount;
        private int sequence;

        Life(String id) {
            this.id = id;
        }

        long clock() {
            return Clock.now() - clockStart + 1;
        }
    }

    private record Run(String task, int number, long startedAt, long millis) {
        long percent() {
            return Math.min(100, (Clock.now() - startedAt) * 100 / millis);
        }
    }

    private record End(long number, String task, int run, String how) {}

    ExecutorStandIn(
            StoreStandIn store,
            Record record,
            Work work,
            String machine,
            String pool,
            String zone,
            String rack,
            Fleet.Site site)
            throws IOException {
        this.store = store;
        this.record = record;
        this.work = work;
        this.machine = machine;
        this.pool = pool;
        this.zone = zone;
        this.rack = rack;
        this.cpu = site.cpu();
        this.memory = site.memory();
        this.maxHoldMillis = site.maxHoldMillis();
        server.on("/-/run-start", r -> onLife(r, this::start));
        server.on("/-/run-stop", r -> onLife(r, this::stop));
        server.on("/-/hold", this::hold);
        server.on("/-/pace", r -> onLife(r, (l, b) -> answer(200, l)));
        TIMERS.scheduleAtFixedRate(
                this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        TIMERS.scheduleAtFixedRate(this::expire, 50, 50, TimeUnit.MILLISECONDS);
    }

    String machine() {
        return machine;
    }

    synchronized int runningCount() {
        return life == null ? 0 : life.running.size();
    }

    /** Starts a new lifetime under a new id; a machine of the standby pool is off. */
    synchronized void begin() throws IOException {
        state = "up";
        if (pool.equals(STANDBY)) {
            return;
        }
        lives++;
        life = new Life("i-" + machine + "-" + lives);
        server.open();
        record.line("executor %s is up on %s", life.id, machine);
        beat();
    }

    /** Ends the process of the executor at once, with all that it runs. */
    synchronized void crash() {
        Life dead = life;
        record.line("executor %s crashes, runs=%d", dead.id, dead.running.size());
        life = null;
        state = "down";
        server.close();
        record.executorGone(dead.id);
        notifyAll();
        TIMERS.schedule(
                () -> store.remove("servers", dead.id),
                SILENT_HEARTBEATS * HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    boolean isUp() {
        return state.equals("up");
    }

    boolean isInUpkeep() {
        return state.equals("upkeep");
    }

    String pool() {
        return pool;
    }

    /** Terminates all that runs; a new executor joins the pool after the time of an upkeep. */
    synchronized void beginUpkeep() {
        record.line("upkeep of %s begins", machine);
        leave("upkeep", UPKEEP_MILLIS);
    }

    /** Terminates all that runs; a new executor joins another pool after the time of a move. */
    synchronized void beginMove(String newPool) {
        record.line("move of %s to %s begins", machine, newPool);
        pool = newPool;
        leave("moving", MOVE_MILLIS);
    }

    private void leave(String reason, long millis) {
        state = reason;
        if (life != null) {
            end(life);
        }
        TIMERS.schedule(this::beginAgain, millis, TimeUnit.MILLISECONDS);
    }

    private void end(Life ended) {
        life = null;
        server.close();
        record.line("executor %s ends, runs=%d", ended.id, ended.running.size());
        record.executorGone(ended.id);
        ended.running.values().stream()
                .filter(r -> work.lasts(r.task()) && r.percent() >= 100)
                .forEach(r -> work.endedByUpkeep(r.task()));
        notifyAll();
        store.remove("servers", ended.id);
    }

    private void beginAgain() {
        try {
            begin();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private synchronized void beat() {
        if (life == null) {
            return;
        }
        life.sequence++;
        ObjectNode entry = Json.object();
        entry.put("backend", pool).put("address", "127.0.0.1:" + server.port());
        entry.put("zone", zone).put("version", "v1").put("slots", 8).put("state", "ready");
        entry.put("cold_remaining_ms", 0).put("machine", machine).put("born", life.born);
        entry.set("capacity", capacity());
        entry.set("labels", labels());
        entry.put("clock_ms", life.clock()).put("sequence", life.sequence);
        store.put("servers", life.id, entry.toString());
    }

    private ObjectNode capacity() {
        return Json.object().put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
    }

    private ArrayNode labels() {
        return Json.array().add("a").add(rack);
    }

    /** Returns the machine's entry in the platform's list. */
    synchronized ObjectNode listed() {
        ObjectNode entry = Json.object();
        entry.put("machine", machine).put("pool", pool).put("state", state).put("zone", zone);
        entry.set("labels", labels());
        entry.set("capacity", capacity());
        return entry.put("id", life == null ? "" : life.id);
    }

    private interface Order {
        HttpStandIn.Answer carryOut(Life life, JsonNode body);
    }

    private synchronized HttpStandIn.Answer onLife(HttpStandIn.Request request, Order order) {
        if (life == null || !request.header("Chervillift-Target-Instance").equals(life.id)) {
            return new HttpStandIn.Answer(421, Json.object());
        }
        expire();
        JsonNode body = Json.parse(request.body());
        long fence = body.path("fencing_token").asLong(0);
        if (fence < life.fence) {
            return refusal(life, "fence");
        }
        life.fence = fence;
        return order.carryOut(life, body);
    }

    private static HttpStandIn.Answer answer(int status, Life life) {
        return new HttpStandIn.Answer(status, Json.object().put("clock_ms", life.clock()));
    }

    private static HttpStandIn.Answer refusal(Life life, String reason) {
        return new HttpStandIn.Answer(
                409, Json.object().put("clock_ms", life.clock()).put("reason", reason));
    }

    private void extendLease(Life l, JsonNode body) {
        long wanted = body.path("expires_ms").asLong(0);
        l.leaseEnd = Math.max(l.leaseEnd, Math.min(wanted, l.clock() + maxHoldMillis));
    }

    private HttpStandIn.Answer start(Life l, JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run_id").asInt();
        Run present = l.running.get(task);
        if (present != null && present.number() == number) {
            extendLease(l, body);
            return answer(200, l);
        }
        if (number <= l.highestEnded.getOrDefault(task, 0) || present != null) {
            extendLease(l, body);
            return refusal(l, "old");
        }
        if (body.path("expires_ms").asLong() <= l.clock()) {
            return refusal(l, "late");
        }
        extendLease(l, body);
        if (!hasRoom(l, task)) {
            return refusal(l, "room");
        }
        Run run = new Run(task, number, Clock.now(), work.millis(task, number, this));
        l.running.put(task, run);
        record.started(task, number, l.id, body.path("spec").asText());
        TIMERS.schedule(() -> finish(l, run), run.millis(), TimeUnit.MILLISECONDS);
        return answer(200, l);
    }

    private boolean hasRoom(Life l, String task) {
        long cores = l.running.keySet().stream().mapToLong(work::cpu).sum() + work.cpu(task);
        long mb = l.running.keySet().stream().mapToLong(work::memory).sum() + work.memory(task);
        return cores <= cpu && mb <= memory;
    }

    private HttpStandIn.Answer stop(Life l, JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run_id").asInt();
        Run run = l.running.get(task);
        if (run != null && run.number() <= number) {
            end(l, run, "stopped");
        }
        l.highestEnded.merge(task, number, Math::max);
        return answer(200, l);
    }

    private synchronized void finish(Life l, Run run) {
        expire();
        if (life != l || l.running.get(run.task()) != run) {
            return;
        }
        if (work.lasts(run.task())) {
            work.atWork(run.task());
        } else {
            end(l, run, "done");
        }
    }

    private synchronized void expire() {
        Life l = life;
        if (l != null && l.clock() > l.leaseEnd) {
            List.copyOf(l.running.values()).forEach(r -> end(l, r, "lapsed"));
        }
    }

    private void end(Life l, Run run, String how) {
        l.running.remove(run.task());
        l.highestEnded.merge(run.task(), run.number(), Math::max);
        l.endCount++;
        l.ends.add(new End(l.endCount, run.task(), run.number(), how));
        record.ended(run.task(), run.number(), l.id, how);
        notifyAll();
    }

    private synchronized HttpStandIn.Answer hold(HttpStandIn.Request request) {
        Life l = life;
        HttpStandIn.Answer checked =
                onLife(
                        request,
                        (x, body) -> {
                            extendLease(x, body);
                            long seen = body.path("last_seen").asLong(0);
                            x.ends.removeIf(e -> e.number() <= seen);
                            return answer(200, x);
                        });
        if (checked.status() != 200) {
            return checked;
        }
        long wait = Json.parse(request.body()).path("wait_ms").asLong(0);
        long until = Clock.now() + wait;
        while (life == l && l.ends.isEmpty() && until > Clock.now()) {
            try {
                wait(Math.max(1, until - Clock.now()));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        return life == l ? report(l) : null;
    }

    private HttpStandIn.Answer report(Life l) {
        ObjectNode body = Json.object().put("clock_ms", l.clock()).put("born", l.born);
        ArrayNode running = body.putArray("running");
        for (Run r : l.running.values()) {
            running.addArray()
                    .add(r.task())
                    .add(r.number())
                    .add("")
                    .add(r.percent())
                    .add(work.cpu(r.task()));
        }
        ArrayNode ended = body.putArray("ended_runs");
        l.ends.stream()
                .limit(MAX_ENDS)
                .forEach(
                        e ->
                                ended.addArray()
                                        .add(e.number())
                                        .add(e.task())
                                        .add(e.run())
                                        .add(e.how())
                                        .add(""));
        return new HttpStandIn.Answer(200, body);
    }
}
