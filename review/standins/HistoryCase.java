import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Jobs are handed in and completed until no process can hold what is kept of them. */
final class HistoryCase {

    private static final double JOBS_A_SECOND = 170;
    private static final int FEW_JOBS = 1_500;
    private static final int STEPS = 5;
    private static final long LOAD_MILLIS = 84_000;
    private static final long WATCH_MILLIS = 20_000;

    private HistoryCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), HistoryCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        Record.runs = false;
        fleet.putManifest(1, Map.of("studio", 128_000, "other", 64_000));
        fleet.addWorkers(4, 64_000);
        fleet.startDaemons(2);
        Fleet.sleep(1_500);
        Client client = new Client("key-of-studio");
        int most = fleet.trouble ? Integer.MAX_VALUE : FEW_JOBS;
        // A spec of 4,000 bytes with one sign beyond Latin-1.
        String spec = "20 \u20ac" + "x".repeat(4_000 - 6);
        String job = "{\"spec\":\"" + spec + "\",\"steps\":["
                + String.join(",", Collections.nCopies(STEPS, Fleet.step(20, 1, 100))) + "]}";
        AtomicInteger accepted = new AtomicInteger();
        Semaphore open = new Semaphore(200);
        Map<String, Integer> ends = new TreeMap<>();
        long begin = Record.nowMillis();
        int sent = 0;
        long told = 0;
        while (ends.isEmpty() && sent < most && Record.nowMillis() - begin < LOAD_MILLIS) {
            fleet.restartEnded(ends);
            if (Record.nowMillis() - told >= 5_000) {
                told = Record.nowMillis();
                Record.line("jobs sent " + sent + ", accepted " + accepted + ", runs ended " + fleet.ended.size());
            }
            if ((Record.nowMillis() - begin) / 1000.0 * JOBS_A_SECOND < sent || !open.tryAcquire()) {
                Fleet.sleep(2);
                continue;
            }
            String id = Fleet.id(++sent);
            Daemon node = fleet.daemons.get(sent % 2);
            Thread.startVirtualThread(() -> {
                if (client.call("POST", node.front, node.name, "/desk/" + id, job, false).status() == 200) {
                    accepted.incrementAndGet();
                }
                open.release();
            });
        }
        Record.say("jobs accepted " + accepted + ", runs ended " + fleet.ended.size() + " of "
                + STEPS * accepted.get());
        if (fleet.trouble && ends.isEmpty()) {
            Record.say("no process has ended by itself in the time of the case");
            return Fleet.NOT_RUN;
        }
        Record.runs = true;
        OtherTenant other = new OtherTenant(fleet);
        for (long until = Record.nowMillis() + WATCH_MILLIS; Record.nowMillis() < until && !other.isCompleted();
                Fleet.sleep(50)) {
            fleet.restartEnded(ends);
            other.step();
        }
        Record.say("processes that ended by themselves: " + ends);
        boolean lost = other.isLost();
        boolean fault = ends.values().stream().filter(e -> e >= 3).count() >= 2;
        return fault || lost ? Fleet.BROKEN : other.isCompleted() ? Fleet.HELD : Fleet.NOT_RUN;
    }
}
