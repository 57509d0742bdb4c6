import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The store is down for some seconds while a job of many steps repeats. */
final class BacklogCase {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int STEPS = 18;
    private static final int REPEATS = 80;
    private static final long INTERVAL_MILLIS = 250;
    private static final Fleet.JobShape SHAPE = new Fleet.JobShape(100, 64, 600);
    private static final String STEP = "{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimated_ms\":600}";
    private static final long OUTAGE_AFTER_MILLIS = 7_000;
    private static final long OUTAGE_MILLIS = 4_500;
    private static final long WATCH_MILLIS = 60_000;

    private BacklogCase() {}

    static int run(Path folder, Record record, boolean trouble) throws Exception {
        Fleet fleet = new Fleet(folder, record, Fleet.Site.BOOTH);
        fleet.putManifest(7, List.of(Fleet.KEY));
        fleet.addExecutors(8);
        for (int i = 1; i <= 3; i++) {
            fleet.daemons.add("edge-" + i, fleet.storeServer.port(), fleet.platform.port()).start();
        }
        if (!fleet.daemons.awaitReady(30_000)) {
            record.line("the entry machines were not ready");
            return 2;
        }
        HttpStandIn.pause(3_000);
        Daemons.Entry entry = fleet.daemons.entries().get(0);
        if (fleet.submit(entry, Fleet.KEY, JOB, SHAPE, body()).status() != 200) {
            record.line("the job was not accepted");
            return 2;
        }
        HttpStandIn.pause(OUTAGE_AFTER_MILLIS);
        if (trouble) {
            record.line("the store is down");
            fleet.store.setDown(true);
            HttpStandIn.pause(OUTAGE_MILLIS);
            fleet.store.setDown(false);
            record.line("the store is back");
        }
        return CrashUnderManyCase.watch(fleet, entry, JOB, WATCH_MILLIS);
    }

    private static String body() {
        List<String> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            steps.add(STEP);
        }
        long start = System.currentTimeMillis() + 1_000;
        return "{\"spec\":\"proofs\",\"repeat_count\":" + REPEATS + ",\"start_at_ms\":" + start
                + ",\"interval_ms\":" + INTERVAL_MILLIS
                + ",\"steps\":[" + String.join(",", steps) + "]}";
    }
}
