import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Two holders in turn are restarted by SIGTERM while the demand of a queue rises and falls. */
final class TwoHandoversCase {

    private static final int POOL_MACHINES = 4;
    private static final int STANDBY_MACHINES = 10;
    private static final long MAX_ORDER_WAIT_MILLIS = 2_000;
    private static final long TERM_DELAY_MILLIS = 150;
    private static final Fleet.JobShape SHAPE = new Fleet.JobShape(64_000, 1_024, 400);
    private static final String SURGE =
            "{\"spec\":\"pack\",\"steps\":[{\"count\":6,\"cpu\":64000,\"mem_mb\":1024,"
                    + "\"estimated_ms\":400}]}";
    private static final String SMALL =
            "{\"spec\":\"pack\",\"steps\":[{\"count\":1,\"cpu\":64000,\"mem_mb\":1024,"
                    + "\"estimated_ms\":400}]}";
    private static final long SMALL_GAP_MILLIS = 300;
    private static final long WATCH_MILLIS = 20_000;
    private static final long TERM_GAP_MILLIS = 1_300;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long LEASE_MILLIS = 3_000;

    private final Fleet fleet;
    private final Record record;
    private final Map<String, Long> outOfTouchSince = new HashMap<>();
    private final Map<String, Long> inTouchFrom = new HashMap<>();

    private TwoHandoversCase(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    static int run(Path folder, Record record, boolean trouble) throws Exception {
        return new TwoHandoversCase(new Fleet(folder, record), record).run(trouble);
    }

    private int run(boolean trouble) throws IOException {
        fleet.putManifest(7, List.of(Fleet.KEY));
        fleet.addMachines(Fleet.POOL, POOL_MACHINES);
        fleet.addMachines(ExecutorStandIn.STANDBY, STANDBY_MACHINES);
        for (int i = 1; i <= 6; i++) {
            fleet.daemons.add("edge-" + i, fleet.storeServer.port(), fleet.platform.port()).start();
        }
        if (!fleet.daemons.awaitReady(30_000)) {
            record.line("the entry machines were not ready");
            return 2;
        }
        HttpStandIn.pause(4_000);
        Thread.ofVirtual().start(this::submitSmallJobs);
        HttpStandIn.pause(3_000);
        int before = fleet.platform.orders().size();
        submit("f000000000000001", SURGE);
        long until = Clock.now() + MAX_ORDER_WAIT_MILLIS;
        while (fleet.platform.orders().size() == before && Clock.now() < until) {
            HttpStandIn.pause(10);
        }
        HttpStandIn.pause(TERM_DELAY_MILLIS);
        if (trouble) {
            restartHolder();
            HttpStandIn.pause(TERM_GAP_MILLIS);
            restartHolder();
        }
        HttpStandIn.pause(WATCH_MILLIS);
        return isRuleBroken() ? 1 : 0;
    }

    private void submitSmallJobs() {
        for (int n = 0; true; n++) {
            submit(String.format("%016x", n), SMALL);
            HttpStandIn.pause(SMALL_GAP_MILLIS);
        }
    }

    private void submit(String id, String body) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            for (Daemons.Entry entry : fleet.daemons.entries()) {
                                int status =
                                        fleet.submit(entry, Fleet.KEY, id, SHAPE, body).status();
                                if (status == 200) {
                                    return;
                                }
                            }
                        });
    }

    /** Sends SIGTERM to the process that the lease names, and starts it again. */
    private void restartHolder() {
        String lease = fleet.store.text("holder", "holder", "lease");
        String name = Json.parse(lease).path("vm").asText();
        for (Daemons.Entry entry : fleet.daemons.entries()) {
            if (entry.name.equals(name)) {
                record.line("SIGTERM to %s", name);
                synchronized (outOfTouchSince) {
                    outOfTouchSince.put(name, Clock.now());
                }
                Thread.ofVirtual().start(() -> restart(entry));
            }
        }
    }

    private void restart(Daemons.Entry entry) {
        try {
            entry.restart();
            synchronized (outOfTouchSince) {
                inTouchFrom.put(entry.name, Clock.now() + CONTACT_MILLIS);
            }
            record.line("%s has been started again", entry.name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean isInTouch(PlatformStandIn.Order order) {
        String name = order.holder().substring(0, order.holder().indexOf('/'));
        long out = outOfTouchSince.getOrDefault(name, Long.MAX_VALUE);
        long in = inTouchFrom.getOrDefault(name, Long.MAX_VALUE);
        return order.at() < out || in > out && order.at() > in;
    }

    /** Returns whether two holders in touch have ordered one machine in turn too soon. */
    private boolean isRuleBroken() {
        boolean broken = false;
        synchronized (outOfTouchSince) {
            Map<String, PlatformStandIn.Order> last = new HashMap<>();
            for (PlatformStandIn.Order order : fleet.platform.orders()) {
                PlatformStandIn.Order before = last.put(order.machine(), order);
                if (before != null
                        && !before.holder().equals(order.holder())
                        && order.at() - before.at() < LEASE_MILLIS) {
                    boolean inTouch = isInTouch(before) && isInTouch(order);
                    record.line(
                            "TURNS within %d ms, in touch=%s: %s, then %s",
                            order.at() - before.at(), inTouch, before, order);
                    broken |= inTouch;
                }
            }
        }
        return broken;
    }
}
