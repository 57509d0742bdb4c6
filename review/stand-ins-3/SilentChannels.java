import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The open channels to the store go silent, and the operator adds a key and takes one away. */
final class SilentChannels {

    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final int ROUNDS = 6;

    private SilentChannels() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Random random = new Random(12);
        List<String> refused = new ArrayList<>();
        List<String> served = new ArrayList<>();
        int status;
        try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
            world.store.start();
            world.cloud.start();
            world.store.put("op", "config", StaleList.manifest(1, "key-0", "key-1"));
            world.cloud.add("m-1", "p1", "z1", "r1", 16_000);
            List<World.Proxy> proxies = new ArrayList<>();
            List<World.Daemon> daemons = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                World.Proxy proxy = world.new Proxy(world.store.port);
                proxies.add(proxy);
                daemons.add(
                        world.new Daemon("edge-" + i, "z" + i, proxy.port, world.cloud.port));
            }
            for (World.Daemon daemon : daemons) {
                daemon.start();
            }
            if (!world.awaitReady(20_000)) {
                world.log("the daemons are not ready");
                System.exit(2);
            }
            World.sleep(2_000);
            String job = submit(world, daemons.get(0), "key-0", 0xd000);
            World.sleep(2_000);
            int next = 0xd001;
            for (int round = 1; round <= ROUNDS; round++) {
                World.sleep(random.nextInt(2_000));
                awaitFeed(world);
                if (trouble) {
                    proxies.forEach(World.Proxy::silence);
                }
                long silentAt = world.now();
                World.sleep(300);
                String added = "key-" + (round + 1);
                String removed = "key-" + (round - 1);
                world.store.put(
                        "op",
                        "config",
                        StaleList.manifest(round + 1, "key-" + round, added));
                long ackAt = world.now();
                world.log("version " + (round + 1) + " adds " + added + ", takes " + removed);
                long from = Math.max(silentAt + CONTACT_MILLIS, ackAt + CONFIG_APPLY_MILLIS) + 20;
                World.sleep(from - world.now());
                for (World.Daemon daemon : daemons) {
                    String id = submit(world, daemon, removed, next++);
                    if (!id.isEmpty()) {
                        served.add(id);
                        world.log("CONFIG the job " + id + " was accepted with " + removed);
                    }
                }
                while (world.now() < from + 1_500) {
                    for (World.Daemon daemon : daemons) {
                        check(world, daemon, job, added, silentAt, ackAt, true, refused);
                        check(world, daemon, job, removed, silentAt, ackAt, false, served);
                    }
                    World.sleep(30);
                }
                World.sleep(3_000);
            }
            String result =
                    refused.size() + " requests with a key of the manifest were refused, "
                            + served.size() + " with a key that was taken away were served";
            world.log(result);
            System.out.println(result);
            status = refused.isEmpty() && served.isEmpty() ? 0 : 1;
        }
        System.exit(status);
    }

    /** Waits until one of the machines has begun to wait for changes of the operator's rows. */
    private static void awaitFeed(World world) {
        long from = world.now();
        while (world.store.operatorFeedAt <= from && world.now() < from + 3_000) {
            World.sleep(2);
        }
    }

    /** Hands a job in; returns its identifier if it is accepted. */
    private static String submit(World world, World.Daemon daemon, String key, int number) {
        String id = "%016x".formatted(number);
        String body =
                "{\"spec\":\"{\\\"ms\\\":300,\\\"cpu\\\":1000}\",\"steps\":[{\"count\":1,"
                        + "\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":300}]}";
        World.Answer answer = world.request(daemon, "POST", "/q1/" + id, key, body);
        world.log("POST " + id + " at " + daemon.name + " with " + key + " -> " + answer.status());
        return answer.status() == 200 ? id : "";
    }

    /** Asks for a job of the tenant: 200 with a key in force, 401 with another. */
    private static void check(
            World world,
            World.Daemon daemon,
            String job,
            String key,
            long silentAt,
            long ackAt,
            boolean inForce,
            List<String> broken) {
        long sentAt = world.now();
        World.Answer answer = world.request(daemon, "GET", "/q1/" + job, key, "");
        boolean refused =
                answer.status() == 401 || answer.status() == 403 || answer.status() == 404;
        boolean wrong = inForce ? refused : answer.status() == 200;
        if (wrong) {
            String text =
                    "CONFIG " + daemon.name + " answers " + answer.status() + " to " + key
                            + ", sent " + (sentAt - ackAt) + " ms after the ack and "
                            + (sentAt - silentAt) + " ms after the channels went silent";
            world.log(text);
            broken.add(text);
        }
    }
}
