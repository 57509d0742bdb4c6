import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/** An executor crashes and starts again under its id, while the platform's list is slow. */
final class StaleList {

    private static final int EXECUTORS = 7;
    private static final long RUN_MILLIS = 70_000;

    private StaleList() {}

    static ObjectNode manifest(long version, String... keys) {
        ObjectNode manifest = World.JSON.createObjectNode().put("version", version);
        manifest.putArray("routes")
                .addObject()
                .put("name", "q1")
                .put("host", World.HOST)
                .put("path_prefix", "/q1/")
                .put("backend", "p1")
                .put("priority", 1)
                .put("max_attempts", 3)
                .put("stretch_factor", 2.0)
                .put("target_latency_ms", 1_000);
        manifest.putArray("services")
                .addObject()
                .put("name", "p1")
                .put("enforces_capacity", true);
        ObjectNode tenant = manifest.putArray("tenants").addObject().put("name", "t1");
        ArrayNode list = tenant.putArray("api_keys");
        List.of(keys).forEach(list::add);
        tenant.put("weight", 1);
        tenant.putObject("cap").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        return manifest;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Random random = new Random(11);
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.store.put("op", "config", manifest(1, "key-1"));
            for (int i = 1; i < EXECUTORS; i++) {
                world.cloud.add("m-" + i, "p1", "z1", "r" + i / 4, 16_000);
            }
            World.Worker small = world.cloud.add("m-small", "p1", "z1", "r2", 2_000);
            World.Daemon a = world.new Daemon("edge-1", "z1", world.store.port, world.cloud.port);
            World.Daemon b = world.new Daemon("edge-2", "z2", world.store.port, world.cloud.port);
            a.start();
            b.start();
            if (!world.awaitReady(20_000)) {
                world.log("the daemons are not ready");
                System.exit(2);
            }
            World.sleep(1_000);
            long until = world.now() + RUN_MILLIS;
            if (trouble) {
                world.log("from now on each list of the platform takes 500 ms");
                world.cloud.answerMillis = 500;
                Thread.startVirtualThread(() -> crashAgainAndAgain(world, small, random, until));
            }
            int accepted = 0;
            for (int i = 0; world.now() < until; i++) {
                String id = "%016x".formatted(0xb000 + i);
                String body =
                        "{\"spec\":\"{\\\"ms\\\":1500,\\\"cpu\\\":1000}\",\"steps\":[{\"count\":1,"
                                + "\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":1500}]}";
                World.Answer answer =
                        world.request(i % 2 == 0 ? a : b, "POST", "/q1/" + id, "key-1", body);
                world.log("POST " + id + " -> " + answer.status());
                accepted += answer.status() == 200 ? 1 : 0;
                World.sleep(200);
            }
            World.sleep(5_000);
            List<String> broken = world.ledger.twice();
            broken.forEach(t -> world.log("TWICE " + t));
            world.log(accepted + " jobs accepted, TWICE broken " + broken.size() + " times");
            System.out.println(accepted + " jobs accepted, TWICE broken " + broken.size() + " times");
            status = accepted < 100 ? 2 : broken.isEmpty() ? 0 : 1;
        }
        System.exit(status);
    }

    private static void crashAgainAndAgain(
            World world, World.Worker worker, Random random, long until) {
        try {
            while (world.now() < until - 5_000) {
                World.sleep(2_000 + random.nextInt(500));
                worker.crash("down");
                World.sleep(2_000 + random.nextInt(500));
                worker.start();
            }
        } catch (Exception e) {
            world.log("cannot start the executor again: " + e);
        }
    }
}
