import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment: the platform, the executors of one service, one queue and one tenant. */
final class Fleet implements ExecutorStandIn.Work {

    static final String HOST = "pule25.example";
    static final String PREFIX = "/puxa400/";
    static final String KEY = "key-of-glenside";
    static final String POOL = "huvo11a";
    private static final String[] ZONES = {"scot-a", "scot-b", "scot-c"};

    final Record record;
    private final Site site;
    final StoreStandIn store = new StoreStandIn();
    final HttpStandIn storeServer = new HttpStandIn();
    final PlatformStandIn platform;
    final Daemons daemons;
    final List<ExecutorStandIn> executors = new ArrayList<>();
    /** The lasting work units that upkeeps have ended and that are not at work again. */
    private final Set<String> away = new TreeSet<>();
    private int mostAway;
    private final Map<String, JobShape> jobs = new ConcurrentHashMap<>();

    /** What each work unit of a job needs and how long it works. */
    record JobShape(long cpu, long memory, long millis, boolean lasts) {
        JobShape(long cpu, long memory, long millis) {
            this(cpu, memory, millis, false);
        }
    }

    /** What a deployment of the users has in its settings, and the size of its executors. */
    record Site(long cpu, long memory, long maxHoldMillis, long stopTimeoutMillis) {
        static final Site CLYDEFORM = new Site(64_000, 131_072, 6_000, 400);
        static final Site BOOTH = new Site(16_000, 32_768, 10_000, 900);
    }

    Fleet(Path folder, Record record) throws IOException {
        this(folder, record, Site.CLYDEFORM);
    }

    Fleet(Path folder, Record record, Site site) throws IOException {
        this.site = site;
        this.record = record;
        this.platform = new PlatformStandIn(record);
        this.daemons = new Daemons(folder, site);
        store.serve(storeServer);
        storeServer.open();
    }

    /** Adds executors of the size of the site, four a rack. */
    void addExecutors(int count) throws IOException {
        addMachines(POOL, count);
    }

    /** Adds machines to a pool; those of the standby pool are off. */
    void addMachines(String pool, int count) throws IOException {
        int before = executors.size();
        for (int i = before; i < before + count; i++) {
            ExecutorStandIn executor =
                    new ExecutorStandIn(
                            store,
                            record,
                            this,
                            String.format("m-%02d", i + 1),
                            pool,
                            ZONES[i % ZONES.length],
                            "r1-" + (i / 4 + 1),
                            site);
            executors.add(executor);
            platform.add(executor);
            executor.begin();
        }
    }

    /** Writes a manifest with one queue; its keys are those given. */
    long putManifest(int version, List<String> keys) {
        ObjectNode manifest = Json.object().put("version", version);
        manifest.putArray("routes")
                .addObject()
                .put("name", "r-tyiikdr")
                .put("host", HOST)
                .put("path_prefix", PREFIX)
                .put("route_type", "non_idempotent")
                .put("timeout_ms", 3_000)
                .put("target_latency_ms", 600)
                .put("priority", 0)
                .put("backend", POOL)
                .put("max_attempts", 4)
                .put("stretch_factor", 1.6)
                .put("public", false);
        ArrayNode services = manifest.putArray("services");
        services.add(service(POOL, false));
        services.add(service(ExecutorStandIn.STANDBY, true));
        ObjectNode tenant = manifest.putArray("tenants").addObject().put("name", "glenside");
        ArrayNode list = tenant.putArray("api_keys");
        keys.forEach(list::add);
        tenant.put("weight", 1.0);
        tenant.putObject("cap").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        manifest.putObject("limits").put("max_body_bytes", 262_144);
        return store.put("op", "config", manifest.toString());
    }

    private static ObjectNode service(String name, boolean standby) {
        return Json.object()
                .put("name", name)
                .put("health_path", "/health")
                .put("max_connections", 64)
                .put("protocol", "h1")
                .put("enforces_capacity", true)
                .put("standby", standby);
    }

    Client.Answer submit(Daemons.Entry entry, String key, String id, JobShape shape, String body) {
        jobs.put(id, shape);
        return call(entry, "POST", key, id, body);
    }

    Client.Answer read(Daemons.Entry entry, String id) {
        return call(entry, "GET", KEY, id, "");
    }

    private Client.Answer call(
            Daemons.Entry entry, String method, String key, String id, String body) {
        Client.Answer answer = Client.call(entry.front, method, PREFIX + id, HOST, key, body);
        record.line(
                "%s %s at %s key=%s -> %d %s",
                method, id, entry.name, key, answer.status(), answer.body());
        return answer;
    }

    private JobShape shapeOf(String task) {
        return jobs.get(task.substring(0, task.indexOf('.')));
    }

    @Override
    public long cpu(String task) {
        return shapeOf(task).cpu();
    }

    @Override
    public long memory(String task) {
        return shapeOf(task).memory();
    }

    @Override
    public long millis(String task, int run, ExecutorStandIn executor) {
        return shapeOf(task).millis();
    }

    @Override
    public boolean lasts(String task) {
        return shapeOf(task).lasts();
    }

    /**
     * An upkeep has ended a work unit that was at work. The others of its step that upkeeps have
     * ended are away until they are at work again.
     */
    @Override
    public void endedByUpkeep(String task) {
        synchronized (away) {
            record.line("an upkeep ends %s, which is at work, while away: %s", task, away);
            away.add(task);
            mostAway = Math.max(mostAway, away.size());
        }
    }

    @Override
    public void atWork(String task) {
        synchronized (away) {
            record.line("%s is at work", task);
            away.remove(task);
        }
    }

    /** Returns how many lasting work units were away at once, all ended by upkeeps. */
    int endedTogether() {
        synchronized (away) {
            return mostAway;
        }
    }
}
