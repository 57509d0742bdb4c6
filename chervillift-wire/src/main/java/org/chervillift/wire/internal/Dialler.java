package org.chervillift.wire.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.LinkSettings;

/** Dials the wanted addresses again and again, with full jitter. Runs on the event loop only. */
final class Dialler {

    private static final int MOST_DOUBLINGS = 16;

    private final LinkSettings settings;
    private final RandomGenerator random;
    private final Timer timer;
    private final Predicate<HostPort> isLinked;
    private final Consumer<HostPort> connect;
    private final Map<HostPort, Target> targets = new HashMap<>();

    Dialler(
            LinkSettings settings,
            RandomGenerator random,
            Timer timer,
            Predicate<HostPort> isLinked,
            Consumer<HostPort> connect) {
        this.settings = settings;
        this.random = random;
        this.timer = timer;
        this.isLinked = isLinked;
        this.connect = connect;
    }

    /** Runs a task later on the event loop. */
    @FunctionalInterface
    interface Timer {
        void schedule(Runnable task, long delay, TimeUnit unit);
    }

    void want(Set<HostPort> wanted) {
        targets.keySet().retainAll(wanted);
        for (HostPort address : wanted) {
            if (!targets.containsKey(address)) {
                targets.put(address, new Target());
                dialLater(address);
            }
        }
    }

    boolean wants(HostPort address) {
        return targets.containsKey(address);
    }

    /** A dial or a dialled link ended. */
    void ended(HostPort address, boolean livedLong) {
        Target target = targets.get(address);
        if (target == null) {
            return;
        }
        target.dialling = false;
        target.failures = livedLong ? 0 : target.failures + 1;
        dialLater(address);
    }

    /** A link to the address was lost that somebody else had dialled. */
    void lost(HostPort address) {
        dialLater(address);
    }

    private void dialLater(HostPort address) {
        Target target = targets.get(address);
        if (target == null || target.waiting || target.dialling) {
            return;
        }
        target.waiting = true;
        timer.schedule(() -> dialNow(address, target), delay(target), TimeUnit.MILLISECONDS);
    }

    private long delay(Target target) {
        int doublings = Math.min(target.failures, MOST_DOUBLINGS);
        Duration bound = settings.retryBase().multipliedBy(1L << doublings);
        long most = Math.min(bound.toMillis(), settings.retryMost().toMillis());
        return random.nextLong(most + 1);
    }

    private void dialNow(HostPort address, Target target) {
        target.waiting = false;
        boolean current = targets.get(address) == target;
        if (!current || target.dialling || isLinked.test(address)) {
            return;
        }
        target.dialling = true;
        connect.accept(address);
    }

    private static final class Target {
        private int failures;
        private boolean waiting;
        private boolean dialling;
    }
}
