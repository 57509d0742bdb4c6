import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** More runs end on one executor than one answer lists (500), while the holder changes. */
final class EndsCase {

    private static final int JOBS = 12;
    private static final int WORK_UNITS_A_JOB = 64;
    private static final int COUNT = JOBS * WORK_UNITS_A_JOB;
    private static final long BETWEEN_JOBS_MILLIS = 300;
    /** The first job's runs end this long after the first job is handed in, the others' after them. */
    private static final long FIRST_END_MILLIS = 8_000;
    private static final long BETWEEN_ENDS_MILLIS = 50;

    private EndsCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), EndsCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        fleet.putManifest(1, Map.of("studio", 0));
        fleet.addWorkers(1, 64_000);
        fleet.startDaemons(2);
        Fleet.sleep(1_500);
        Client client = new Client("key-of-studio");
        Daemon node = fleet.daemons.get(0);
        long begin = Record.nowMillis();
        for (int i = 0; i < JOBS; i++) {
            Fleet.sleep(begin + i * BETWEEN_JOBS_MILLIS - Record.nowMillis());
            long work = begin + FIRST_END_MILLIS + i * BETWEEN_ENDS_MILLIS - Record.nowMillis();
            client.submit(node, path(i), Fleet.job(work, WORK_UNITS_A_JOB, 50), 5);
        }
        Fleet.require(() -> fleet.workers.get(0).runs().size() == COUNT, 4_000, "not all work units run");
        Record.say("work units that run on one executor: " + COUNT);
        Fleet.sleep(begin + FIRST_END_MILLIS - 200 - Record.nowMillis());
        Daemon holder = fleet.holder();
        Daemon other = fleet.other(holder);
        if (fleet.trouble) {
            Record.say("the process that gives the orders is killed, runs done so far: " + done(fleet));
            holder.kill();
        }
        boolean completed = Fleet.await(
                () -> {
                    Fleet.sleep(500);
                    return IntStream.range(0, JOBS).allMatch(
                            i -> client.call("GET", other, path(i), "").state().equals("completed"));
                }, 40_000);
        Fleet.sleep(2_000);
        return judge(fleet, completed);
    }

    private static String path(int job) {
        return "/desk/" + Fleet.id(job + 1);
    }

    private static long done(Fleet fleet) {
        return fleet.ended.stream().filter(r -> r.end.equals("done")).count();
    }

    /** TWICE: a start after a run has ended done, if that end is taken note of then or later. */
    private static int judge(Fleet fleet, boolean completed) {
        List<Worker.Run> done = fleet.ended.stream()
                .filter(r -> r.end.equals("done") && r.notedAt > 0 && !r.lapsedBetween)
                .toList();
        long again = 0;
        for (Worker.Run start : fleet.started) {
            for (Worker.Run first : done) {
                if (first.task.equals(start.task) && first != start && start.startedAt > first.endedAt) {
                    again++;
                    Record.line("TWICE " + start.task + "#" + start.number + " started at " + start.startedAt + ", but #"
                            + first.number + " had ended done at " + first.endedAt + ", which was taken note of at "
                            + first.notedAt);
                }
            }
        }
        Record.say("starts " + fleet.started.size() + " of " + COUNT + " work units; ends done and taken note of "
                + done.size() + "; starts after such an end " + again);
        if (again > 0) {
            return Fleet.BROKEN;
        }
        return completed ? Fleet.HELD : Fleet.NOT_RUN;
    }
}
