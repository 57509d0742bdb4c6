import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** A work unit that lasts, in a queue with placement advice, while machines of its pool have their upkeep. */
final class AdviceCase {

    private static final long WORK_MILLIS = 7_000;
    /** LOST: from 6 s after its last run, nothing running for 3 s. */
    private static final long MOST_IDLE_MILLIS = 6_000 + 3_000;

    private AdviceCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), AdviceCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        fleet.advice = Http.address(fleet.startAdvice(Set.of("m-1")));
        fleet.putManifest(1, Map.of("studio", 64_000));
        fleet.addWorkers(5, 16_000);
        fleet.startDaemons(2);
        Fleet.sleep(1_500);
        Client client = new Client("key-of-studio");
        Daemon node = fleet.daemons.get(0);
        String step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":900,\"long_running\":true}";
        client.submit(node, "/desk/" + Fleet.id(1), "{\"spec\":\"" + WORK_MILLIS + "\",\"steps\":[" + step + "]}", 5);
        Fleet.require(() -> fleet.started.size() == 1, 8_000, "the job does not run");
        if (fleet.trouble) {
            fleet.store.put("op", "wave/1", "{\"wave\":1,\"machines\":[\"m-2\",\"m-3\"],\"duration_s\":27,\"cap\":1}");
            Record.line("OPERATOR asks for wave 1 of m-2 and m-3, one at a time, in 27 s");
        }
        long longest = 0;
        long idleSince = -1;
        for (long until = Record.nowMillis() + 60_000; Record.nowMillis() < until; Fleet.sleep(10)) {
            boolean runs;
            synchronized (fleet.workers) {
                runs = fleet.workers.stream().anyMatch(w -> !w.runs().isEmpty());
            }
            idleSince = runs ? -1 : idleSince < 0 ? Record.nowMillis() : idleSince;
            longest = Math.max(longest, idleSince < 0 ? 0 : Record.nowMillis() - idleSince);
        }
        String state = client.call("GET", node, "/desk/" + Fleet.id(1), "").state();
        Record.say("starts " + fleet.started.size() + ", longest time with nothing running " + longest
                + " ms, state of the job " + state + ", wave " + fleet.store.text("status", "", "wave/1"));
        return longest >= MOST_IDLE_MILLIS ? Fleet.BROKEN : Fleet.HELD;
    }
}
