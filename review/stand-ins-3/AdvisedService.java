import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Executors of a service are lost, and work units that last wait beside executors with room. */
final class AdvisedService {

    private static final int EXECUTORS = 20;
    private static final int LOST_EXECUTORS = 3;
    private static final int UNITS = 12;
    private static final long WATCH_MILLIS = 40_000;

    /** 6 s after its last run, and 3 s and the 4 s before them calm; with a margin. */
    private static final long BOUND_MILLIS = 13_000;

    private AdvisedService() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.advice.start();
            ObjectNode manifest = StaleList.manifest(1, "key-1");
            ((ObjectNode) manifest.path("routes").get(0))
                    .putObject("placement_advice")
                    .put("decision_ms", 50)
                    .put("period_ms", 5)
                    .put("validity_ms", world.advice.validityMillis);
            world.store.put("op", "config", manifest);
            List<World.Worker> workers = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                workers.add(
                        world.cloud.add(
                                "m-%02d".formatted(i), "p1", "z1", "r" + i / 4, 16_000));
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
            String id = "00000000000000c1";
            String body =
                    "{\"spec\":\"{\\\"ms\\\":0,\\\"cpu\\\":4000}\",\"steps\":[{\"count\":"
                            + UNITS
                            + ",\"cpu\":4000,\"mem_mb\":64,\"max_per_server\":1,"
                            + "\"long_running\":true}]}";
            World.Answer answer = world.request(b, "POST", "/q1/" + id, "key-1", body);
            world.log("POST " + id + " -> " + answer.status());
            World.sleep(5_000);
            int begun = world.ledger.runningTasks().size();
            world.log(begun + " work units run on " + EXECUTORS + " executors");
            if (answer.status() != 200 || begun < UNITS) {
                world.log("the job has not begun whole");
                System.exit(2);
            }
            if (trouble) {
                workers.stream()
                        .filter(World.Worker::hasRuns)
                        .limit(LOST_EXECUTORS)
                        .forEach(w -> world.lose(w));
            }
            long lostAt = world.now();
            long longest = 0;
            while (world.now() < lostAt + WATCH_MILLIS) {
                World.sleep(500);
                int running = world.ledger.runningTasks().size();
                long free = workers.stream().filter(w -> w.isUp() && !w.hasRuns()).count();
                if (running < UNITS && free >= 2L * (UNITS - running)) {
                    longest = world.now() - lostAt;
                }
                if (running < UNITS) {
                    world.log(
                            running + " of " + UNITS + " work units run, " + free
                                    + " executors are idle");
                }
            }
            String result =
                    "work units that last did not run for " + longest / 1000.0
                            + " s beside idle executors";
            world.log(result);
            System.out.println(result);
            status = longest > BOUND_MILLIS ? 1 : 0;
        }
        System.exit(status);
    }
}
