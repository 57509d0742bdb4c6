import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** One job of very many work units; processes that end are started again, as the platform does. */
final class CountCase {

    private static final int LARGE = 250_000;
    private static final int SMALL = 250;

    private CountCase() {}

    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), CountCase::run);
    }

    private static int run(Fleet fleet) throws Exception {
        fleet.putManifest(1, Map.of("studio", 64_000, "other", 64_000));
        fleet.addWorkers(2, 64_000);
        fleet.startDaemons(2);
        Fleet.sleep(1_500);
        int count = fleet.trouble ? LARGE : SMALL;
        Map<String, Integer> ends = new TreeMap<>();
        if (!handIn(fleet, count, ends)) {
            Record.say("the job of " + count + " work units was refused");
            return Fleet.HELD;
        }
        OtherTenant other = new OtherTenant(fleet);
        for (long until = Record.nowMillis() + 60_000; Record.nowMillis() < until; Fleet.sleep(100)) {
            fleet.restartEnded(ends);
            other.step();
            if (!fleet.trouble && other.isCompleted()) {
                break;
            }
        }
        Record.say("processes that ended by themselves: " + ends);
        boolean lost = other.isLost();
        // Fault: on two machines at least processes end by themselves three times.
        boolean fault = ends.values().stream().filter(e -> e >= 3).count() >= 2;
        return fault || lost ? Fleet.BROKEN : other.isCompleted() ? Fleet.HELD : Fleet.NOT_RUN;
    }

    /**
     * Hands the job in at one machine after the other, as long as no answer comes, as requesters do.
     * Returns false if every answer was a refusal.
     */
    private static boolean handIn(Fleet fleet, int count, Map<String, Integer> ends) throws Exception {
        Client client = new Client("key-of-studio");
        boolean unanswered = false;
        for (int i = 0; i < 8; i++) {
            Daemon node = fleet.daemons.get(i % fleet.daemons.size());
            int status =
                    client.call("POST", node, "/desk/" + Fleet.id(1), Fleet.job(500, count, 1_000)).status();
            if (status >= 200 && status < 300) {
                Record.say("a job of " + count + " work units was accepted");
                return true;
            }
            unanswered |= status == 0 || status == 502 || status == 504;
            fleet.restartEnded(ends);
            Fleet.sleep(300);
        }
        return unanswered;
    }
}
