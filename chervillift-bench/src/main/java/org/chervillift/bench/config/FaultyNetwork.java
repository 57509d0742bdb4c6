package org.chervillift.bench.config;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Delays, loses and cuts messages between data centres and to the store. */
final class FaultyNetwork {

    private static final int USUAL_MILLIS = 20;
    private static final int SLOW_MILLIS = 2_500;
    private static final int SLOW_ONE_IN = 60;
    private static final int LOST_ONE_IN = 80;

    private final ManualScheduler time;
    private final Random random;
    private final Set<String> cutFromStore = new HashSet<>();
    private final Set<String> cutPairs = new HashSet<>();
    private boolean storeDown;

    FaultyNetwork(ManualScheduler time, Random random) {
        this.time = time;
        this.random = random;
    }

    void storeDown(boolean down) {
        storeDown = down;
    }

    void cutFromStore(String dataCentre, boolean cut) {
        set(cutFromStore, dataCentre, cut);
    }

    void cutPair(String one, String other, boolean cut) {
        set(cutPairs, pair(one, other), cut);
    }

    boolean reachesStore(String dataCentre) {
        return !storeDown && !cutFromStore.contains(dataCentre);
    }

    boolean connected(String one, String other) {
        return !cutPairs.contains(pair(one, other));
    }

    boolean whole() {
        return !storeDown && cutFromStore.isEmpty() && cutPairs.isEmpty();
    }

    boolean onlyStoreDown() {
        return storeDown && cutPairs.isEmpty();
    }

    /** Delivers to the store or back, unless the message is lost or the way is cut by then. */
    void toStore(String dataCentre, Runnable delivery) {
        deliver(() -> reachesStore(dataCentre), delivery);
    }

    /** Delivers between processes, unless the message is lost or the way is cut by then. */
    void between(String from, String to, Runnable delivery) {
        deliver(() -> connected(from, to), delivery);
    }

    private void deliver(BooleanSupplier open, Runnable delivery) {
        if (!open.getAsBoolean() || random.nextInt(LOST_ONE_IN) == 0) {
            return;
        }
        int most = random.nextInt(SLOW_ONE_IN) == 0 ? SLOW_MILLIS : USUAL_MILLIS;
        time.schedule(
                Duration.ofMillis(1 + random.nextInt(most)),
                () -> {
                    if (open.getAsBoolean()) {
                        delivery.run();
                    }
                });
    }

    private static void set(Set<String> cuts, String name, boolean cut) {
        if (cut) {
            cuts.add(name);
        } else {
            cuts.remove(name);
        }
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }
}
