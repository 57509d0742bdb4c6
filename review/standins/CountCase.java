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
        Client client = new Client("key-of-studio");
        int count = fleet.trouble ? LARGE : SMALL;
        if (!client.submit(fleet.daemons.get(0), "/desk/" + Fleet.id(1), Fleet.job(500, count, 1_000), 5)) {
            Record.say("the job of " + count + " work units was not accepted");
            return Fleet.HELD;
        }
        Record.say("a job of " + count + " work units was accepted");
        Fleet.sleep(500);
        OtherTenant other = new OtherTenant(fleet);
        Map<String, Integer> ends = new TreeMap<>();
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
}
