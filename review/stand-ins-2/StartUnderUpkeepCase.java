import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;

/** The holder is restarted by SIGTERM while several of its orders for upkeeps are under way. */
final class StartUnderUpkeepCase {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final long WAVE = 1;
    private static final int MACHINES = 32;
    private static final int WAVE_MACHINES = 16;
    private static final int CAP = 4;
    private static final int MAY_MISS = 1;
    private static final Fleet.JobShape SHAPE = new Fleet.JobShape(4_000, 1_024, 200, true);
    private static final String BODY =
            "{\"spec\":\"fit study\",\"steps\":[{\"count\":5,\"cpu\":4000,\"mem_mb\":1024,"
                    + "\"estimated_ms\":900,\"data_rack\":\"r1-1\",\"long_running\":true,"
                    + "\"may_miss\":1,\"max_per_server\":1,\"image\":\"fit\"}]}";
    private static final long WATCH_MILLIS = 35_000;
    private static final long SLOW_FOR_MILLIS = 5_000;
    private static final int SLOW_LEAST_MILLIS = 800;
    private static final int SLOW_MOST_MILLIS = 950;
    private static final long TERM_DELAY_MILLIS = 20;

    private final Fleet fleet;
    private final Record record;
    private final boolean trouble;
    private final AtomicBoolean ordered = new AtomicBoolean();

    private StartUnderUpkeepCase(Fleet fleet, Record record, boolean trouble) {
        this.fleet = fleet;
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path folder, Record record, boolean trouble) throws Exception {
        return new StartUnderUpkeepCase(new Fleet(folder, record), record, trouble).run();
    }

    private int run() throws IOException {
        fleet.putManifest(7, List.of(Fleet.KEY));
        fleet.addExecutors(MACHINES);
        for (int i = 1; i <= 3; i++) {
            fleet.daemons.add("edge-" + i, fleet.storeServer.port(), fleet.platform.port()).start();
        }
        if (!fleet.daemons.awaitReady(30_000)) {
            record.line("the entry machines were not ready");
            return 2;
        }
        HttpStandIn.pause(3_000);
        if (trouble) {
            fleet.platform.setSlowOrders(SLOW_LEAST_MILLIS, SLOW_MOST_MILLIS, SLOW_FOR_MILLIS);
        }
        fleet.platform.setOnUpkeepOrder(this::onOrder);
        TreeSet<String> names = new TreeSet<>();
        fleet.executors.stream().limit(WAVE_MACHINES).forEach(e -> names.add(e.machine()));
        fleet.platform.addWave(WAVE, names, CAP);
        fleet.store.put(
                "op",
                "wave/1",
                "{\"wave\":1,\"machines\":[\"" + String.join("\",\"", names)
                        + "\"],\"duration_s\":26,\"cap\":" + CAP + "}");
        long until = Clock.now() + WATCH_MILLIS;
        while (Clock.now() < until && fleet.platform.begunCount(WAVE) < WAVE_MACHINES) {
            HttpStandIn.pause(100);
        }
        record.line("upkeeps begun: %d", fleet.platform.begunCount(WAVE));
        return fleet.endedTogether() > MAY_MISS ? 1 : 0;
    }

    /** At the first order: a requester hands the job in, and the holder is restarted. */
    private void onOrder(String holder) {
        if (!ordered.compareAndSet(false, true)) {
            return;
        }
        String name = holder.substring(0, holder.indexOf('/'));
        Daemons.Entry sender =
                fleet.daemons.entries().stream().filter(e -> e.name.equals(name)).findFirst().get();
        Daemons.Entry other =
                fleet.daemons.entries().stream().filter(e -> e != sender).findFirst().get();
        Thread.ofVirtual().start(() -> fleet.submit(other, Fleet.KEY, JOB, SHAPE, BODY));
        if (trouble) {
            Thread.ofVirtual().start(() -> restart(sender));
        }
    }

    private void restart(Daemons.Entry entry) {
        HttpStandIn.pause(TERM_DELAY_MILLIS);
        record.line("SIGTERM to %s", entry.name);
        try {
            entry.restart();
            record.line("%s has been started again", entry.name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
