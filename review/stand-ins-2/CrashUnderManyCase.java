import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;

/** One executor crashes once while it runs many work units of one job. */
final class CrashUnderManyCase {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int COUNT = 450;
    private static final Fleet.JobShape SHAPE = new Fleet.JobShape(100, 128, 4_000);
    private static final String BODY =
            "{\"spec\":\"fit study\",\"steps\":[{\"count\":"
                    + COUNT
                    + ",\"cpu\":100,\"mem_mb\":128,\"estimated_ms\":4000}]}";
    private static final long CRASHED_MILLIS = 2_500;
    private static final long WATCH_MILLIS = 40_000;

    private CrashUnderManyCase() {}

    static int run(Path folder, Record record, boolean trouble) throws Exception {
        Fleet fleet = new Fleet(folder, record);
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
        Client.Answer accepted = fleet.submit(entry, Fleet.KEY, JOB, SHAPE, BODY);
        if (accepted.status() != 200) {
            record.line("the job was not accepted");
            return 2;
        }
        if (trouble) {
            long until = Clock.now() + 10_000;
            while (mostRunning(fleet).runningCount() < COUNT && Clock.now() < until) {
                HttpStandIn.pause(20);
            }
            HttpStandIn.pause(500);
            ExecutorStandIn victim = mostRunning(fleet);
            victim.crash();
            HttpStandIn.pause(CRASHED_MILLIS);
            victim.begin();
        }
        return watch(fleet, entry, JOB, WATCH_MILLIS);
    }

    private static ExecutorStandIn mostRunning(Fleet fleet) {
        return fleet.executors.stream()
                .max(Comparator.comparingInt(ExecutorStandIn::runningCount))
                .orElseThrow();
    }

    /** Asks for the state until the job has ended; the rule is broken if it is shown as failed. */
    static int watch(Fleet fleet, Daemons.Entry entry, String job, long watchMillis) {
        long until = Clock.now() + watchMillis;
        while (Clock.now() < until) {
            Client.Answer answer = fleet.read(entry, job);
            if (answer.status() == 200) {
                String state = Json.parse(answer.body()).path("state").asText();
                if (state.equals("completed")) {
                    return 0;
                }
                if (state.equals("failed")) {
                    int failedEnds = fleet.record.ends(job, "failed");
                    fleet.record.line("shown as failed; ends 'failed' of the job: %d", failedEnds);
                    return failedEnds == 0 ? 1 : 2;
                }
            }
            HttpStandIn.pause(250);
        }
        fleet.record.line("the job did not end in time");
        return 1;
    }
}
