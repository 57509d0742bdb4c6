package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.Transaction;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.http.Json;
import org.chervillift.standin.fleet.FakeFleet;
import org.chervillift.standin.fleet.FakeVm;

/**
 * Holds the invariants of maintenance, counted at the VMs themselves.
 *
 * <p>It shares no code with the planner. Failures younger than the time that news of them may take
 * cannot be known to anybody who takes a VM out, so they are forgiven; all others count.
 */
final class BudgetAudit {

    private static final int PERCENT = 100;

    private final FakeFleet fleet;
    private final Duration newsDelay;
    private final Map<String, VmRow> vms = new TreeMap<>();
    private final Map<String, PoolRow> pools = new TreeMap<>();
    private final Map<String, WaveRow> waves = new TreeMap<>();
    private long takeOuts;
    private long moves;
    private long pauses;

    BudgetAudit(FakeFleet fleet, Duration newsDelay) {
        this.fleet = fleet;
        this.newsDelay = newsDelay;
    }

    Map<String, VmRow> vms() {
        return vms;
    }

    Map<String, WaveRow> waves() {
        return waves;
    }

    Map<String, PoolRow> pools() {
        return pools;
    }

    long takeOuts() {
        return takeOuts;
    }

    long moves() {
        return moves;
    }

    long pauses() {
        return pauses;
    }

    /** Checks a transaction that took effect. */
    void committed(Transaction transaction, Instant now) {
        Set<String> shrunk = new HashSet<>();
        for (Write w : transaction.writes()) {
            String value = w.value().orElseThrow();
            switch (w.key().table()) {
                case VmRow.TABLE -> vmWritten(Json.decode(value, VmRow.class), shrunk, now);
                case PoolRow.TABLE -> pools.put(w.key().key(), Json.decode(value, PoolRow.class));
                case WaveRow.TABLE -> waveWritten(Json.decode(value, WaveRow.class));
                default -> {
                    // Duties carry no invariant of their own.
                }
            }
        }
        shrunk.forEach(p -> checkBudget(p, now));
    }

    private void waveWritten(WaveRow wave) {
        WaveRow before = waves.put(wave.id(), wave);
        boolean paused = wave.state() == WaveState.PAUSED;
        if (paused && before != null && before.state() == WaveState.RUNNING) {
            pauses++;
        }
    }

    private void vmWritten(VmRow vm, Set<String> shrunk, Instant now) {
        VmRow before = vms.put(vm.id(), vm);
        if (before == null) {
            return;
        }
        require(vm.epoch() == before.epoch() + 1, "The epoch of " + vm.id() + " jumped.", now);
        if (!vm.pool().equals(before.pool())) {
            moves++;
            boolean idle = !truth(vm).isAccepting(now) && truth(vm).running(now) == 0;
            require(idle, "VM " + vm.id() + " changed its pool under load.", now);
        }
        boolean out = vm.state() == VmState.DRAINING || vm.state() == VmState.MOVING;
        if (before.state() == VmState.IN_SERVICE && out) {
            takeOuts++;
            shrunk.add(vm.pool());
            checkWaveRuns(vm, now);
        }
        if (vm.state() == VmState.REBOOTING) {
            require(before.state() == VmState.DRAINING, vm.id() + " was not drained first.", now);
        }
    }

    private void checkWaveRuns(VmRow vm, Instant now) {
        if (!vm.wave().isEmpty()) {
            WaveState state = waves.get(vm.wave()).state();
            require(
                    state == WaveState.RUNNING,
                    "VM " + vm.id() + " was taken out for a wave in state " + state + ".",
                    now);
        }
    }

    private void checkBudget(String pool, Instant now) {
        int size = 0;
        int available = 0;
        Map<String, Integer> byRack = new HashMap<>();
        Set<String> racksOut = new HashSet<>();
        List<String> out = new ArrayList<>();
        for (VmRow v : vms.values()) {
            if (!v.pool().equals(pool) || v.state() == VmState.JOINING) {
                continue;
            }
            size++;
            if (v.state() == VmState.IN_SERVICE && isUpAsFarAsKnowable(v, now)) {
                available++;
                byRack.merge(v.rack(), 1, Integer::sum);
            } else if (isOutOnPurpose(v)) {
                racksOut.add(v.rack());
                out.add(v.id() + " " + v.state());
            }
        }
        int required = (size * pools.get(pool).minAvailablePercent() + PERCENT - 1) / PERCENT;
        String counts =
                "Pool %s has %d of %d VMs available and must keep %d."
                        .formatted(pool, available, size, required);
        require(available >= required, "A VM was taken out past the budget. " + counts, now);
        int largest = byRack.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        boolean roomForRack = available - largest >= required;
        require(
                racksOut.size() <= 1 || roomForRack,
                "Racks " + racksOut + " are out at once: " + out + ". " + counts,
                now);
    }

    private static boolean isOutOnPurpose(VmRow vm) {
        return vm.state() == VmState.DRAINING
                || vm.state() == VmState.MOVING
                || vm.state() == VmState.REBOOTING
                || vm.state() == VmState.RETURNING;
    }

    private boolean isUpAsFarAsKnowable(VmRow vm, Instant now) {
        FakeVm truth = truth(vm);
        return truth.isAccepting(now) || isFreshFailure(truth, now);
    }

    private boolean isFreshFailure(FakeVm truth, Instant now) {
        return !truth.isUp(now) && truth.downSince().plus(newsDelay).isAfter(now);
    }

    /** Checks what must hold at every moment. */
    void checkNow(Instant now) {
        require(fleet.cutRequests() == 0, "A reboot cut requests.", now);
        for (VmRow v : vms.values()) {
            FakeVm truth = truth(v);
            boolean refuses = truth.isUp(now) && !truth.isAccepting(now);
            require(
                    v.state() != VmState.IN_SERVICE || !refuses,
                    "VM " + v.id() + " is in service by its row and refuses work.",
                    now);
        }
    }

    private FakeVm truth(VmRow vm) {
        return fleet.vm(vm.id());
    }

    private static void require(boolean condition, String what, Instant now) {
        if (!condition) {
            throw new InvariantBroken(what, now);
        }
    }
}
