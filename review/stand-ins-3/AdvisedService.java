import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Collection;

/**
 * An executor with the label of a step crashes and is back, and a work unit that lasts waits beside
 * executors with that label and with room.
 */
final class AdvisedService {

    private static final int LARGE_EXECUTORS = 14;
    private static final int LABELLED_EXECUTORS = 6;
    private static final int UNITS = 4;
    private static final String LABEL = "kind-2";
    private static final long WATCH_MILLIS = 60_000;

    /** 6 s after its last run, and 3 s and the 4 s before them calm. */
    private static final long BOUND_MILLIS = 13_000;

    private AdvisedService() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.advice.validityMillis = 5_000;
            world.advice.start();
            world.store.put("op", "config", manifest(world));
            for (int i = 0; i < LARGE_EXECUTORS; i++) {
                world.cloud.add("m-a%02d".formatted(i), "p1", "z1", "r" + i / 4, 16_000);
            }
            for (int i = 0; i < LABELLED_EXECUTORS; i++) {
                world.cloud.add("m-b%02d".formatted(i), "p1", "z1", "r8", 8_000, LABEL);
            }
            World.Daemon a = world.new Daemon("edge-1", "z1", world.store.port, world.cloud.port);
            World.Daemon b = world.new Daemon("edge-2", "z2", world.store.port, world.cloud.port);
            a.start();
            b.start();
            if (!world.awaitReady(20_000)) {
                world.log("the daemons are not ready");
                System.exit(2);
            }
            World.sleep(2_000);
            submit(world, a, "q2", "00000000000000c0", 6_000,
                    "{\"count\":" + LARGE_EXECUTORS
                            + ",\"cpu\":12000,\"mem_mb\":64,\"estimated_ms\":6000}", 12_000);
            World.sleep(1_500);
            submit(world, b, "q1", "00000000000000c1", 0,
                    "{\"count\":" + UNITS + ",\"cpu\":4000,\"mem_mb\":64,\"max_per_server\":1,"
                            + "\"long_running\":true,\"requirements\":\"" + LABEL + "\"}", 4_000);
            World.sleep(10_000);
            if (unitsRunning(world) < UNITS) {
                world.log("only " + unitsRunning(world) + " work units run at first");
                System.exit(2);
            }
            if (trouble) {
                World.Worker victim =
                        labelled(world).stream()
                                .map(m -> m.worker)
                                .filter(World.Worker::hasRuns)
                                .findFirst()
                                .orElseThrow();
                Thread.startVirtualThread(() -> world.crashAndComeBack(victim));
            }
            long crashedAt = world.now();
            long longest = 0;
            while (world.now() < crashedAt + WATCH_MILLIS) {
                World.sleep(1_000);
                long idle =
                        labelled(world).stream()
                                .filter(m -> m.worker.isUp() && !m.worker.hasRuns())
                                .count();
                int running = unitsRunning(world);
                if (running < UNITS) {
                    world.log(
                            running + " of " + UNITS + " work units run, " + idle
                                    + " executors with the label are idle");
                }
                if (running < UNITS && idle >= 2) {
                    longest = world.now() - crashedAt;
                }
            }
            String result =
                    "a work unit that lasts did not run for " + longest / 1000.0
                            + " s beside idle executors with its label";
            world.log(result);
            System.out.println(result);
            status = longest > BOUND_MILLIS ? 1 : 0;
        }
        System.exit(status);
    }

    /** Two queues of one service; the first has placement advice. */
    private static ObjectNode manifest(World world) {
        ObjectNode manifest = StaleList.manifest(1, "key-1");
        ObjectNode first = (ObjectNode) manifest.path("routes").get(0);
        ObjectNode second = first.deepCopy().put("name", "q2").put("path_prefix", "/q2/");
        first.putObject("placement_advice")
                .put("decision_ms", 50)
                .put("period_ms", 5)
                .put("validity_ms", world.advice.validityMillis);
        ((com.fasterxml.jackson.databind.node.ArrayNode) manifest.path("routes")).add(second);
        return manifest;
    }

    private static Collection<World.Machine> labelled(World world) {
        return world.cloud.machines.values().stream().filter(m -> m.kind.equals(LABEL)).toList();
    }

    private static int unitsRunning(World world) {
        return (int)
                world.ledger.runningTasks().stream()
                        .filter(t -> t.startsWith("00000000000000c1"))
                        .count();
    }

    private static void submit(
            World world, World.Daemon at, String queue, String id, int ms, String step, int cpu) {
        String body =
                "{\"spec\":\"{\\\"ms\\\":" + ms + ",\\\"cpu\\\":" + cpu + "}\",\"steps\":[" + step
                        + "]}";
        World.Answer answer =
                world.request(at, "POST", "/" + queue + "/" + id, "key-1", body);
        world.log("POST " + id + " to " + queue + " -> " + answer.status());
    }
}
