import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The holder is restarted by SIGTERM during a wave while the platform answers slowly. */
final class HandoverInWaveCase {

    private static final long WAVE = 1;
    private static final int MACHINES = 12;
    private static final int WAVE_MACHINES = 6;
    private static final Fleet.JobShape SHAPE = new Fleet.JobShape(64_000, 1_024, 500);
    private static final String BODY =
            "{\"spec\":\"pack\",\"steps\":[{\"count\":1,\"cpu\":64000,\"mem_mb\":1024,"
                    + "\"estimated_ms\":500}]}";
    private static final long JOB_GAP_MILLIS = 100;
    private static final long WATCH_MILLIS = 60_000;
    private static final long SLOW_FOR_MILLIS = 5_000;
    private static final int SLOW_LEAST_MILLIS = 700;
    private static final int SLOW_MOST_MILLIS = 950;
    private static final long TERM_DELAY_MILLIS = 20;
    private static final int MAX_TERMS = 2;
    private static final long TERM_GAP_MILLIS = 3_000;

    private final Fleet fleet;
    private final Record record;
    private final AtomicLong nextTermAt = new AtomicLong();
    private final AtomicInteger terms = new AtomicInteger();

    private HandoverInWaveCase(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    static int run(Path folder, Record record, boolean trouble) throws Exception {
        return new HandoverInWaveCase(new Fleet(folder, record), record).run(trouble);
    }

    private int run(boolean trouble) throws IOException {
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
            fleet.platform.setOnUpkeepOrder(this::restartSoon);
        }
        TreeSet<String> names = new TreeSet<>();
        fleet.executors.stream().limit(WAVE_MACHINES).forEach(e -> names.add(e.machine()));
        fleet.platform.addWave(WAVE, names, 1);
        fleet.store.put(
                "op",
                "wave/1",
                "{\"wave\":1,\"machines\":[\"" + String.join("\",\"", names)
                        + "\"],\"duration_s\":26,\"cap\":1}");
        long until = Clock.now() + WATCH_MILLIS;
        for (int n = 0; Clock.now() < until && fleet.platform.brokenCaps().isEmpty(); n++) {
            String id = String.format("%016x", n);
            Daemons.Entry entry = fleet.daemons.entries().get(n % 3);
            Thread.ofVirtual().start(() -> fleet.submit(entry, Fleet.KEY, id, SHAPE, BODY));
            HttpStandIn.pause(JOB_GAP_MILLIS);
            if (fleet.platform.begunCount(WAVE) == WAVE_MACHINES) {
                break;
            }
        }
        record.line("upkeeps begun: %d", fleet.platform.begunCount(WAVE));
        return fleet.platform.brokenCaps().isEmpty() ? 0 : 1;
    }

    /** Restarts the process that has just sent an order. */
    private void restartSoon(String holder) {
        long now = Clock.now();
        long next = nextTermAt.get();
        if (now < next || terms.get() == MAX_TERMS || !nextTermAt.compareAndSet(next, now + TERM_GAP_MILLIS)) {
            return;
        }
        terms.incrementAndGet();
        String name = holder.substring(0, holder.indexOf('/'));
        for (Daemons.Entry entry : fleet.daemons.entries()) {
            if (entry.name.equals(name)) {
                Thread.ofVirtual().start(() -> restart(entry));
            }
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
