import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * An executor, as PROTOCOL.md tells it: starts, stops, holds with a lease, fences and numbered ends. A
 * work unit works for as many milliseconds as its spec says.
 */
final class Worker {

    static final long BEAT_MILLIS = 1_500;
    private static final long ANY_FENCE = -1;
    private static final long MAX_HOLD_MILLIS = 6_000;

    /** One run of a work unit. */
    static final class Run {
        final String task;
        final int number;
        final String spec;
        final long startedAt = Record.nowMillis();
        final long workMillis;
        long stopAt = Long.MAX_VALUE;
        long endedAt;
        /** When last_seen reached the end; 0 before. */
        long notedAt;
        /** Whether the executor's lease lapsed between the end and then. */
        boolean lapsedBetween;
        String end;

        Run(String task, int number, String spec) {
            this.task = task;
            this.number = number;
            this.spec = spec;
            this.workMillis = Long.parseLong(spec.split(" ")[0]);
        }

        int percent(long now) {
            return (int) Math.min(100, 100 * (now - startedAt) / Math.max(1, workMillis));
        }
    }

    private record End(long number, Run run) {}

    final String id;
    final String machine;
    private final Store store;
    final String zone;
    final String pool;
    final int cpu;
    private final String rack;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final long bornAt = Record.nowMillis();
    private final Consumer<Run> onStart;
    private final Consumer<Run> onEnd;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highest = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long endNumber;
    private long fence;
    private long leaseEndsAt;
    /** When the lease was last found lapsed. */
    private long lapsedAt = -1;
    private long sequence;
    /** While its zone is cut off, the fence of the holder in its zone; only that holder reaches it. */
    private volatile long fenceInZone = ANY_FENCE;
    private volatile boolean left;
    /** Returns whether a ticket is valid for a step here, where the queue has placement advice. */
    BiPredicate<String, String> ticketCheck = (step, ticket) -> true;

    Worker(Store store, String id, String machine, String zone, String pool, int cpu, Consumer<Run> onStart,
            Consumer<Run> onEnd) throws IOException {
        this.store = store;
        this.id = id;
        this.machine = machine;
        this.zone = zone;
        this.pool = pool;
        this.cpu = cpu;
        this.rack = "r1-1";
        this.onStart = onStart;
        this.onEnd = onEnd;
        this.server = Http.serve(this::handle);
        Thread.startVirtualThread(this::beat);
        Thread.startVirtualThread(this::work);
    }

    String address() {
        return Http.address(server);
    }

    /** Ends the executor: all that runs on it is gone, and its entry in the store. */
    synchronized void leave() {
        left = true;
        running.values().forEach(r -> {
            r.end = "gone";
            r.endedAt = Record.nowMillis();
            Record.line("END gone " + r.task + "#" + r.number + " at " + id);
            onEnd.accept(r);
        });
        running.clear();
        store.remove("servers", id);
        server.stop(0);
    }

    /**
     * Cuts its zone off from the others, or ends that: meanwhile it works on, and is reached only by the
     * holder whose orders it follows now, which is in its zone.
     */
    void zoneCut(boolean value) {
        Record.line("EXECUTOR " + id + (value ? " is cut off with its zone and works on" : " is reached again"));
        fenceInZone = value ? fence : ANY_FENCE;
    }

    private boolean isCutFrom(JsonNode body) {
        return fenceInZone != ANY_FENCE && body.path("fencing_token").asLong() != fenceInZone;
    }

    Map<String, Object> listed() {
        return Map.of("machine", machine, "pool", pool, "state", "up", "zone", zone, "labels", List.of("a", rack),
                "capacity", capacity(), "id", id);
    }

    private Map<String, Object> capacity() {
        return Map.of("cpu", cpu, "mem_mb", 131_072, "gpu", 0);
    }

    private void beat() {
        long silentBeats = 0;
        while (!left) {
            if (fenceInZone != ANY_FENCE) {
                silentBeats++;
                if (silentBeats == 3) {
                    store.remove("servers", id);
                }
            } else {
                silentBeats = 0;
                Map<String, Object> e = new LinkedHashMap<>();
                e.put("backend", pool);
                e.put("address", address());
                e.put("zone", zone);
                e.put("version", "v1");
                e.put("slots", 8);
                e.put("state", "ready");
                e.put("cold_remaining_ms", 0);
                e.put("capacity", capacity());
                e.put("labels", List.of("a", rack));
                e.put("clock_ms", clock());
                e.put("machine", machine);
                e.put("born", born);
                e.put("sequence", ++sequence);
                try {
                    store.put("servers", id, Http.JSON.writeValueAsString(e));
                } catch (IOException x) {
                    throw new IllegalStateException(x);
                }
            }
            sleep(BEAT_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private long clock() {
        return Record.nowMillis() - bornAt + 1_000;
    }

    /** Ends runs whose work is done, whose stop takes effect, or whose lease has lapsed. */
    private void work() {
        while (!left) {
            sleep(5);
            synchronized (this) {
                long now = Record.nowMillis();
                lapsedAt = clock() > leaseEndsAt ? now : lapsedAt;
                for (Run run : List.copyOf(running.values())) {
                    if (clock() > leaseEndsAt) {
                        end(run, "lapsed");
                    } else if (now - run.startedAt >= run.workMillis) {
                        end(run, "done");
                    } else if (now >= run.stopAt) {
                        end(run, "stopped");
                    }
                }
            }
        }
    }

    private void end(Run run, String how) {
        run.end = how;
        run.endedAt = Record.nowMillis();
        running.remove(run.task);
        ends.add(new End(++endNumber, run));
        Record.line("END " + how + " " + run.task + "#" + run.number + " at " + id);
        onEnd.accept(run);
        notifyAll();
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, JsonNode body, HttpExchange x)
            throws Exception {
        if (isCutFrom(body)) {
            return null;
        }
        String target = x.getRequestHeaders().getFirst("Chervillift-Target-Instance");
        if (target != null && !target.equals(id)) {
            return new Http.Answer(421, Map.of("clock_ms", clock()));
        }
        Http.Answer answer = switch (path) {
            case "/-/hold" -> hold(body);
            case "/-/run-start" -> start(body);
            case "/-/run-stop" -> stop(body);
            default -> new Http.Answer(404, Map.of());
        };
        return isCutFrom(body) ? null : answer;
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Map.of("clock_ms", clock(), "reason", reason));
    }

    private boolean fenced(JsonNode body) {
        long token = body.path("fencing_token").asLong();
        if (token < fence) {
            return true;
        }
        fence = token;
        return false;
    }

    private void extend(JsonNode body) {
        if (body.has("expires_ms")) {
            long until = Math.min(body.path("expires_ms").asLong(), clock() + MAX_HOLD_MILLIS);
            leaseEndsAt = Math.max(leaseEndsAt, until);
        }
    }

    private synchronized Http.Answer hold(JsonNode body) throws InterruptedException {
        if (fenced(body)) {
            return refuse("fence");
        }
        extend(body);
        long seen = body.path("last_seen").asLong();
        ends.removeIf(e -> {
            boolean noted = e.number() <= seen;
            if (noted) {
                e.run().notedAt = Record.nowMillis();
                e.run().lapsedBetween = lapsedAt >= e.run().endedAt;
            }
            return noted;
        });
        long until = Record.nowMillis() + body.path("wait_ms").asLong();
        while (ends.isEmpty() && Record.nowMillis() < until) {
            wait(Math.max(1, until - Record.nowMillis()));
        }
        long now = Record.nowMillis();
        List<Object> shown = new ArrayList<>();
        running.values().forEach(r -> shown.add(List.of(r.task, r.number, "", r.percent(now), 0)));
        List<Object> ended = new ArrayList<>();
        ends.stream().limit(500).forEach(
                e -> ended.add(List.of(e.number(), e.run().task, e.run().number, e.run().end, "")));
        return new Http.Answer(200,
                Map.of("clock_ms", clock(), "born", born, "running", shown, "ended_runs", ended));
    }

    private synchronized Http.Answer start(JsonNode body) {
        if (fenced(body)) {
            return refuse("fence");
        }
        String task = body.path("task").asText();
        int number = body.path("run_id").asInt();
        Run there = running.get(task);
        if (there != null && there.number == number) {
            extend(body);
            return new Http.Answer(200, Map.of("clock_ms", clock()));
        }
        if (body.path("expires_ms").asLong() <= clock()) {
            return refuse("late");
        }
        extend(body);
        if (there != null || number <= highest.getOrDefault(task, 0)) {
            return refuse("old");
        }
        String step = task.substring(0, task.lastIndexOf('.'));
        if (!ticketCheck.test(step, body.path("ticket").asText(""))) {
            Record.line("TICKET refused for " + task + " at " + id);
            return refuse("ticket");
        }
        highest.put(task, number);
        Run run = new Run(task, number, body.path("spec").asText());
        running.put(task, run);
        Record.line("START " + task + "#" + number + " at " + id + " fence=" + body.path("fencing_token").asLong());
        onStart.accept(run);
        return new Http.Answer(200, Map.of("clock_ms", clock()));
    }

    private synchronized Http.Answer stop(JsonNode body) {
        if (fenced(body)) {
            return refuse("fence");
        }
        String task = body.path("task").asText();
        int number = body.path("run_id").asInt();
        Run there = running.get(task);
        if (there != null && there.number <= number) {
            there.stopAt = Math.min(there.stopAt, Record.nowMillis() + 50);
        }
        highest.merge(task, number, Math::max);
        return new Http.Answer(200, Map.of("clock_ms", clock()));
    }

    /** Returns the number of ends that were listed and have not been taken note of. */
    synchronized int unacknowledgedEnds() {
        return ends.size();
    }

    synchronized List<Run> runs() {
        return List.copyOf(running.values());
    }
}
