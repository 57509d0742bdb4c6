package org.chervillift.standin.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.fleet.VmStatus;

/** One VM of the fake fleet. Used by one thread. */
public final class FakeVm {

    private static final int MOST_NAMES = 5;

    private final String id;
    private final Map<String, Instant> running = new TreeMap<>();
    private boolean alive = true;
    private boolean accepting = true;
    private Instant upAt = Instant.EPOCH;
    private Instant downSince = Instant.EPOCH;
    private long fence;
    private long rebootFence;

    FakeVm(String id) {
        this.id = id;
    }

    /** Returns whether it runs; false while it reboots or has failed. */
    public boolean isUp(Instant now) {
        return alive && !now.isBefore(upAt);
    }

    /** Returns whether it takes work. */
    public boolean isAccepting(Instant now) {
        return accepting && isUp(now);
    }

    /** Returns how many requests run on it. */
    public int running(Instant now) {
        running.values().removeIf(end -> !end.isAfter(now));
        return running.size();
    }

    /** Returns the greatest fence that it has seen. */
    public long fence() {
        return fence;
    }

    /** Returns the time since when it has been down by itself. */
    public Instant downSince() {
        return downSince;
    }

    /** Starts a request unless the VM refuses it; returns whether it started. */
    public boolean admit(String request, Instant end, Instant now) {
        if (!isAccepting(now)) {
            return false;
        }
        running.put(request, end);
        return true;
    }

    /** Lets it fail until {@link #recover}. */
    public void fail(Instant now) {
        if (isUp(now)) {
            downSince = now;
        }
        alive = false;
        running.clear();
    }

    /** Lets it come back after a failure, as it was. */
    public void recover() {
        alive = true;
    }

    /** Returns whether the fence is not lower than the greatest seen, and remembers it. */
    boolean pass(long newFence) {
        if (newFence < fence) {
            return false;
        }
        fence = newFence;
        return true;
    }

    void setAccepting(boolean value) {
        accepting = value;
    }

    boolean isRebootedUnder(long newFence) {
        return rebootFence == newFence;
    }

    /** Reboots it; returns how many requests that cut. */
    int reboot(long newFence, Instant now, Instant backAt) {
        int cut = running(now);
        running.clear();
        accepting = false;
        rebootFence = newFence;
        upAt = backAt;
        return cut;
    }

    VmStatus status(Instant now) {
        int count = running(now);
        List<String> names = new ArrayList<>(running.keySet());
        return new VmStatus(
                id,
                accepting,
                count,
                names.subList(0, Math.min(MOST_NAMES, names.size())),
                fence,
                rebootFence);
    }
}
