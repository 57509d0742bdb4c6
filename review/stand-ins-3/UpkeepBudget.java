import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The machine that gives orders is restarted in a wave, and two executors don't reach the next. */
final class UpkeepBudget {

    private static final int EXECUTORS = 24;
    private static final int UNITS = 14;
    private static final int MAY_MISS = 1;
    private static final int WAVE_MACHINES = 12;
    private static final int CUT_EXECUTORS = 2;
    private static final long CUT_MILLIS = 6_000;

    private UpkeepBudget() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.store.put("op", "config", StaleList.manifest(1, "key-1"));
            List<World.Worker> workers = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                workers.add(
                        world.cloud.add("m-%02d".formatted(i), "p1", "z1", "r" + i / 4, 16_000));
            }
            List<World.Daemon> daemons = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                World.Daemon daemon =
                        world.new Daemon(
                                "edge-" + i, "z" + i, world.store.port, world.cloud.port);
                daemons.add(daemon);
                daemon.start();
            }
            if (!world.awaitReady(20_000)) {
                world.log("the daemons are not ready");
                System.exit(2);
            }
            World.sleep(2_000);
            String body =
                    "{\"spec\":\"{\\\"ms\\\":0,\\\"cpu\\\":4000}\",\"steps\":[{\"count\":" + UNITS
                            + ",\"cpu\":4000,\"mem_mb\":64,\"max_per_server\":1,\"may_miss\":"
                            + MAY_MISS + ",\"long_running\":true}]}";
            World.Answer answer =
                    world.request(daemons.get(3), "POST", "/q1/00000000000000f1", "key-1", body);
            world.log("POST 00000000000000f1 -> " + answer.status());
            World.sleep(5_000);
            List<World.Worker> busy =
                    workers.stream().filter(World.Worker::hasRuns).limit(WAVE_MACHINES).toList();
            if (world.ledger.runningTasks().size() < UNITS || busy.size() < WAVE_MACHINES) {
                world.log("the job has not begun whole");
                System.exit(2);
            }
            Set<String> away = new HashSet<>();
            List<String> broken = new ArrayList<>();
            world.cloud.onUpkeep = () -> check(world, away, broken);
            if (trouble) {
                busy.subList(0, CUT_EXECUTORS).forEach(w -> w.cutFromNextHolder(CUT_MILLIS));
            }
            World.sleep(500);
            World.Daemon holder = world.holder();
            holder.signal("TERM");
            World.sleep(300);
            ObjectNode wave =
                    World.JSON.createObjectNode()
                            .put("wave", 1)
                            .put("duration_s", 26)
                            .put("cap", 2);
            ArrayNode machines = wave.putArray("machines");
            busy.forEach(w -> machines.add(w.machine.name));
            world.store.put("op", "wave/1", wave);
            world.log("wave 1 of " + machines);
            holder.awaitEnd();
            holder.start();
            World.sleep(45_000);
            broken.forEach(world::log);
            String result =
                    world.cloud.endedByUpkeep.size() + " work units at work were ended by upkeep, "
                            + broken.size() + " times beyond the budget";
            world.log(result);
            System.out.println(result);
            status = broken.isEmpty() ? 0 : 1;
        }
        System.exit(status);
    }

    /** AVAIL: an upkeep ends a work unit while as many others as may be missed are away. */
    private static synchronized void check(World world, Set<String> away, List<String> broken) {
        Set<String> atWork = new HashSet<>();
        world.cloud.machines.values().forEach(m -> atWork.addAll(m.worker.atWork()));
        List<String> ended = world.cloud.endedByUpkeep;
        away.removeIf(atWork::contains);
        for (String task : ended) {
            if (atWork.contains(task) && away.size() >= MAY_MISS) {
                broken.add("AVAIL an upkeep ends " + task + " while " + away + " is away");
            }
        }
        away.addAll(ended);
    }
}
