import java.nio.file.Path;
import java.util.Map;

/**
 * A queue is sent to another service and back; then the zone is cut off in which the holder is, and the
 * executor that runs a job of that time.
 */
final class RouteCase {

    private static final int COUNT = 8;
    private static final long WORK_MILLIS = 25_000;
    private static final long CUT_MILLIS = 5_500;

    private RouteCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), RouteCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        Map<String, Integer> tenants = Map.of("studio", 64_000);
        fleet.putManifest(1, Fleet.DESK, tenants);
        fleet.startDaemons(2);
        Daemon holder = fleet.holder();
        Daemon other = fleet.other(holder);
        fleet.addWorker(other.zone, Fleet.DESK, 64_000);
        fleet.addWorker(other.zone, Fleet.DESK, 64_000);
        Worker hub = fleet.addWorker(holder.zone, Fleet.HUB, 64_000);
        Fleet.sleep(1_500);
        Client client = new Client("key-of-studio");
        String path = "/desk/" + Fleet.id(1);
        String job = "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[" + Fleet.step(WORK_MILLIS, COUNT, 1_000)
                + "],\"repeat_count\":1,\"start_at_ms\":" + (System.currentTimeMillis() + 4_000) + "}";
        client.submit(other, path, job, 5);
        fleet.putManifest(2, Fleet.HUB, tenants);
        Fleet.require(() -> hub.runs().size() == COUNT, 10_000, "the job does not run at the second service");
        Fleet.sleep(1_000);
        fleet.putManifest(3, Fleet.DESK, tenants);
        Fleet.sleep(4_000);
        Record.say("work units that run at the second service: " + hub.runs().size());
        if (fleet.trouble) {
            fleet.cutZone(holder.zone, true);
            Fleet.sleep(CUT_MILLIS);
            fleet.cutZone(holder.zone, false);
        }
        boolean completed = Fleet.await(
                () -> {
                    Fleet.sleep(500);
                    return client.call("GET", other, path, "").state().equals("completed");
                }, 45_000);
        return judge(fleet, completed);
    }

    /** TWICE: two runs of one work unit at the same time, on executors that are up. */
    private static int judge(Fleet fleet, boolean completed) {
        long twice = 0;
        for (Worker.Run first : fleet.started) {
            for (Worker.Run second : fleet.started) {
                boolean later = second != first && second.task.equals(first.task)
                        && second.startedAt >= first.startedAt && second.number > first.number;
                if (later && (first.end == null || second.startedAt < first.endedAt)) {
                    twice++;
                    Record.line("TWICE " + second.task + "#" + second.number + " started at " + second.startedAt
                            + " while #" + first.number + " ran from " + first.startedAt + " to " + first.endedAt);
                }
            }
        }
        Record.say("starts " + fleet.started.size() + " of " + COUNT + " work units; runs beside another of the same: "
                + twice);
        return twice > 0 ? Fleet.BROKEN : completed ? Fleet.HELD : Fleet.NOT_RUN;
    }
}
