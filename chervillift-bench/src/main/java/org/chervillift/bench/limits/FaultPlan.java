package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Brings about faults at random, several at once, until it is told to stop. */
final class FaultPlan {

    private static final Duration MEAN_GAP = Duration.ofSeconds(5);
    private static final Duration HANDOVER_TIME = Duration.ofSeconds(60);
    private static final int MOST_LIMIT = 40;

    private final ManualScheduler scheduler;
    private final RandomGenerator random;
    private final Network network;
    private final SoakFleet fleet;
    private final LimitSettings settings;
    private final Map<String, Long> counts = new TreeMap<>();
    private boolean stopped;

    FaultPlan(
            ManualScheduler scheduler,
            RandomGenerator random,
            Network network,
            SoakFleet fleet,
            LimitSettings settings) {
        this.scheduler = scheduler;
        this.random = random;
        this.network = network;
        this.fleet = fleet;
        this.settings = settings;
    }

    void start() {
        Duration wait = Duration.ofMillis(random.nextLong(2 * MEAN_GAP.toMillis()));
        scheduler.schedule(
                wait,
                () -> {
                    if (!stopped) {
                        one();
                        start();
                    }
                });
    }

    /** Ends all faults for good. */
    void stop() {
        stopped = true;
        network.setDown(false);
        network.setSlow(false);
        network.setLostPercent(0);
        fleet.dataCentres().forEach(network::heal);
        List.copyOf(fleet.vms()).forEach(FakeEntryVm::wake);
    }

    Map<String, Long> counts() {
        return counts;
    }

    private void one() {
        Runnable fault =
                switch (random.nextInt(10)) {
                    case 0 -> this::killAndReplace;
                    case 1 -> this::killAndRestart;
                    case 2, 3 -> this::pause;
                    case 4 -> this::handOver;
                    case 5 -> this::cut;
                    case 6 -> this::takeTableDown;
                    case 7 -> this::slowTable;
                    case 8 -> this::loseReplies;
                    default -> this::changeLimits;
                };
        fault.run();
        fleet.changeFavourite();
    }

    private void count(String fault) {
        counts.merge(fault, 1L, Long::sum);
    }

    private FakeEntryVm any() {
        return fleet.vms().get(random.nextInt(fleet.vms().size()));
    }

    private void killAndReplace() {
        count("kills_replaced");
        FakeEntryVm vm = any();
        fleet.remove(vm);
        fleet.startNew(vm.dataCentre());
    }

    private void killAndRestart() {
        count("kills_restarted");
        FakeEntryVm vm = any();
        fleet.remove(vm);
        fleet.restart(vm);
    }

    private void pause() {
        count("pauses");
        FakeEntryVm vm = any();
        Duration most =
                vm.isSending()
                        ? settings.maxPause()
                        : settings.leaseDuration().plus(settings.reclaimDelay()).multipliedBy(2);
        vm.pause();
        later(random.nextLong(most.toMillis()), vm::wake);
    }

    private void handOver() {
        count("handovers");
        FakeEntryVm vm = any();
        if (!vm.takesRequests()) {
            return;
        }
        vm.leave();
        fleet.startNew(vm.dataCentre());
        later(HANDOVER_TIME.toMillis(), () -> endIfAlive(vm));
    }

    private void endIfAlive(FakeEntryVm vm) {
        if (!vm.isDead()) {
            if (vm.hasLeft()) {
                count("handovers_clean");
            }
            fleet.remove(vm);
        }
    }

    private void cut() {
        count("cuts");
        String dataCentre = fleet.dataCentres().get(random.nextInt(fleet.dataCentres().size()));
        network.cut(dataCentre);
        Duration most = settings.leaseDuration().plus(settings.reclaimDelay()).multipliedBy(2);
        later(random.nextLong(most.toMillis()), () -> network.heal(dataCentre));
    }

    private void takeTableDown() {
        count("table_down");
        network.setDown(true);
        later(random.nextLong(settings.leaseDuration().toMillis()), () -> network.setDown(false));
    }

    private void slowTable() {
        count("table_slow");
        network.setSlow(true);
        later(random.nextLong(settings.leaseDuration().toMillis()), () -> network.setSlow(false));
    }

    private void loseReplies() {
        count("replies_lost");
        network.setLostPercent(random.nextInt(1, 30));
        later(
                random.nextLong(settings.leaseDuration().toMillis()),
                () -> network.setLostPercent(0));
    }

    private void changeLimits() {
        count("limit_changes");
        Map<String, Integer> changed = new TreeMap<>(fleet.limits());
        List<String> names = List.copyOf(changed.keySet());
        String team = names.get(random.nextInt(names.size()));
        int limit = random.nextInt(3) == 0 ? random.nextInt(3) : random.nextInt(MOST_LIMIT);
        changed.put(team, limit);
        fleet.adopt(changed);
    }

    private void later(long millis, Runnable action) {
        scheduler.schedule(
                Duration.ofMillis(millis),
                () -> {
                    if (!stopped) {
                        action.run();
                    }
                });
    }
}
