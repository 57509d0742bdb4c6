package org.chervillift.bench.waves;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;

/** Sends requests to VMs that were in service when the rows were last read. */
final class SoakTraffic {

    private static final Duration STEP = Duration.ofMillis(500);
    private static final int MOST_READ_AGE_STEPS = 8;
    private static final int LONG_REQUEST_IN = 400;

    private final Scheduler clock;
    private final SimStore store;
    private final SimWorld world;
    private final RandomGenerator random;
    private List<VmRow> known = List.of();
    private long requests;

    SoakTraffic(Scheduler clock, SimStore store, SimWorld world, RandomGenerator random) {
        this.clock = clock;
        this.store = store;
        this.world = world;
        this.random = random;
    }

    long requests() {
        return requests;
    }

    void start() {
        clock.schedule(STEP, this::step);
    }

    private void step() {
        if (random.nextInt(MOST_READ_AGE_STEPS) == 0) {
            known =
                    store.scan(VmRow.TABLE).stream()
                            .map(r -> Json.decode(r.value(), VmRow.class))
                            .toList();
        }
        for (VmRow v : known) {
            if (v.state() == VmState.IN_SERVICE && random.nextInt(4) == 0) {
                send(v.id());
            }
        }
        clock.schedule(STEP, this::step);
    }

    private void send(String vm) {
        boolean isLong = random.nextInt(LONG_REQUEST_IN) == 0;
        int most = isLong ? 900 : 10;
        Duration time = Duration.ofSeconds(1L + random.nextInt(most));
        String name = "request-" + requests;
        if (world.fleet().vm(vm).admit(name, clock.now().plus(time), clock.now())) {
            requests++;
        }
    }
}
