import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;

/** A job that repeats until its stored progress does not fit into one row of the store. */
final class RepeatCase {

    private static final int STEPS = 8;
    private static final long INTERVAL_MILLIS = 250;

    private RepeatCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), RepeatCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        fleet.putManifest(1, Map.of("studio", 64_000, "other", 64_000));
        fleet.addWorkers(4, 64_000);
        fleet.startDaemons(2);
        Fleet.sleep(1_500);
        Client client = new Client("key-of-studio");
        Daemon node = fleet.daemons.get(0);
        int repeats = fleet.trouble ? 240 : 24;
        String steps = String.join(",", Collections.nCopies(STEPS, Fleet.step(50, 1, 500)));
        String job = "{\"spec\":\"50\",\"steps\":[" + steps + "],\"repeat_count\":" + repeats + ",\"start_at_ms\":"
                + (System.currentTimeMillis() + 500) + ",\"interval_ms\":" + INTERVAL_MILLIS + "}";
        client.submit(node, "/desk/" + Fleet.id(1), job, 5);
        long until = Record.nowMillis() + INTERVAL_MILLIS * repeats + 5_000;
        while (Record.nowMillis() < until && fleet.ended.size() < STEPS * repeats
                && fleet.store.refusedForSize() < 10) {
            Fleet.sleep(100);
        }
        Record.say("runs ended: " + fleet.ended.size() + " of " + STEPS * repeats + "; writes refused for their size: "
                + fleet.store.refusedForSize() + " " + fleet.store.lastRefusal());
        OtherTenant other = new OtherTenant(fleet);
        for (long end = Record.nowMillis() + 25_000; Record.nowMillis() < end && !other.isCompleted();
                Fleet.sleep(100)) {
            other.step();
        }
        Record.say("writes refused for their size by now: " + fleet.store.refusedForSize() + "; ends not taken note of: "
                + fleet.workers.stream().mapToInt(Worker::unacknowledgedEnds).sum());
        if (other.isLost()) {
            return Fleet.BROKEN;
        }
        return other.isCompleted() ? Fleet.HELD : Fleet.NOT_RUN;
    }
}
