import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A work unit crashes each executor that starts it, before the order is answered. */
final class DeadlyTask {

    private static final int EXECUTORS = 8;
    private static final long RUN_MILLIS = 60_000;

    private DeadlyTask() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.store.put("op", "config", StaleList.manifest(1, "key-1"));
            for (int i = 0; i < EXECUTORS; i++) {
                world.cloud.add("m-" + i, "p1", "z1", "r" + i / 4, 16_000);
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
            String deadly = "%016x".formatted(0xdead);
            String answer =
                    world.request(b, "POST", "/q1/" + deadly, "key-1", body(trouble)).toString();
            world.log("POST " + deadly + " -> " + answer);
            long until = world.now() + RUN_MILLIS;
            List<String> others = new ArrayList<>();
            for (int i = 0; world.now() < until; i++) {
                String id = "%016x".formatted(0xe000 + i);
                World.Answer other =
                        world.request(
                                i % 2 == 0 ? a : b, "POST", "/q1/" + id, "key-1", body(false));
                if (other.status() == 200) {
                    others.add(id);
                }
                World.sleep(500);
            }
            World.sleep(5_000);
            long done = others.stream().filter(o -> isCompleted(world, a, o)).count();
            world.log(others.size() + " other jobs accepted, " + done + " of them completed");
            String state = world.request(a, "GET", "/q1/" + deadly, "key-1", "").body();
            List<World.Ledger.Started> starts = world.ledger.startsOf(deadly + ".0.0.0");
            starts.forEach(s -> world.log(s.toString()));
            long crashes = starts.stream().filter(s -> s.how.equals("lost")).count();
            String result =
                    starts.size() + " starts, " + crashes + " executors crashed under it, " + state;
            world.log(result);
            System.out.println(result);
            status = crashes >= 3 && starts.size() >= 6 ? 1 : 0;
        }
        System.exit(status);
    }

    private static boolean isCompleted(World world, World.Daemon daemon, String id) {
        return world.request(daemon, "GET", "/q1/" + id, "key-1", "").body().contains("completed");
    }

    private static String body(boolean deadly) {
        return "{\"spec\":\"{\\\"ms\\\":1000,\\\"cpu\\\":2000,\\\"deadly\\\":"
                + deadly
                + "}\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":64,"
                + "\"estimated_ms\":1000}]}";
    }
}
