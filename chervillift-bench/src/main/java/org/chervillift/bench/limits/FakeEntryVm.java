package org.chervillift.bench.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chervillift.core.limits.Admission;
import org.chervillift.core.limits.LimitAction;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.Permit;
import org.chervillift.core.limits.RunStatus;
import org.chervillift.core.limits.TeamLimiter;
import org.chervillift.runtime.supervision.ManualScheduler;

/** One run of an entry VM's process, which can be killed, paused and woken at any point. */
final class FakeEntryVm {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration ASK_AGAIN = Duration.ofMillis(50);
    private static final int LONGEST_PREPARE_MS = 200;
    private static final int LONGEST_SEND_MS = 5;
    private static final int MOST_WAITING = 100;

    private final String vm;
    private final String dataCentre;
    private final String incarnation;
    private final Parts parts;
    private final Duration clockOffset;
    private final TeamLimiter agent;
    private final KnownLimits known;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean dead;
    private boolean paused;
    private boolean leaving;
    private int sending;
    private long refused;
    private long callNumber;

    /** What every entry VM of a run shares. */
    record Parts(
            ManualScheduler scheduler,
            RandomGenerator random,
            Network network,
            FakeTable table,
            FakeUpstreams upstreams,
            LimitSettings settings,
            Variant variant,
            Load load) {}

    /** What the requests are like, and what the limits were at each version. */
    interface Load extends KnownLimits.LimitHistory {
        /** Returns how long a request runs. */
        Duration runLength();

        /** Returns the part of requests whose connection is lost while they run, in percent. */
        int lostPercent();
    }

    FakeEntryVm(
            String vm, String dataCentre, String incarnation, Parts parts, Duration clockOffset) {
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.incarnation = incarnation;
        this.parts = parts;
        this.clockOffset = clockOffset;
        this.agent =
                new TeamLimiter(
                        vm, dataCentre, incarnation, parts.settings(), parts.random(), now());
        this.known =
                new KnownLimits(
                        parts.load(), SoakFleet.CONFIG_LAG.plus(parts.settings().reclaimDelay()));
        tickLater();
    }

    String vm() {
        return vm;
    }

    String dataCentre() {
        return dataCentre;
    }

    boolean takesRequests() {
        return !dead && !leaving;
    }

    boolean isDead() {
        return dead;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isSending() {
        return sending > 0;
    }

    boolean hasLeft() {
        return agent.isShutdownComplete();
    }

    long refused() {
        return refused;
    }

    TeamLimiter agent() {
        return agent;
    }

    void kill() {
        dead = true;
        waiting.clear();
    }

    void pause() {
        paused = true;
    }

    void wake() {
        paused = false;
        while (!waiting.isEmpty() && !dead) {
            waiting.poll().run();
        }
    }

    void leave() {
        leaving = true;
        deliver(() -> tell(new LimitEvent.ShutdownStarted()));
    }

    void adopt(long version, Map<String, Integer> limits) {
        deliver(
                () -> {
                    limits.keySet().forEach(t -> known.learn(t, version, clock()));
                    tell(new LimitEvent.LimitsAdopted(version, limits));
                });
    }

    void arrive(String team) {
        if (paused && waiting.size() > MOST_WAITING) {
            return;
        }
        deliver(() -> settle(team, agent.admit(team, now()), now().plusMillis(500)));
    }

    private Instant clock() {
        return parts.scheduler().now();
    }

    private Instant now() {
        return parts.scheduler().now().plus(clockOffset);
    }

    private void tickLater() {
        parts.scheduler()
                .schedule(
                        TICK,
                        () -> {
                            if (dead) {
                                return;
                            }
                            if (!paused) {
                                tell(new LimitEvent.Tick());
                            }
                            tickLater();
                        });
    }

    private void deliver(Runnable event) {
        if (dead) {
            return;
        }
        if (paused) {
            waiting.add(event);
        } else {
            event.run();
        }
    }

    private void later(int mostMillis, Runnable event) {
        Duration wait = Duration.ofMillis(parts.random().nextInt(mostMillis + 1));
        parts.scheduler().schedule(wait, () -> deliver(event));
    }

    private void settle(String team, Admission admission, Instant deadline) {
        Runnable next =
                switch (admission) {
                    case Admission.Admitted a ->
                            () -> later(LONGEST_PREPARE_MS, () -> check(a.permit()));
                    case Admission.Refused r -> () -> refused++;
                    case Admission.Pending p -> () -> waitFor(team, deadline);
                };
        next.run();
    }

    private void waitFor(String team, Instant deadline) {
        if (now().isAfter(deadline)) {
            refused++;
            return;
        }
        parts.scheduler().schedule(ASK_AGAIN, () -> deliver(() -> askAgain(team, deadline)));
    }

    private void askAgain(String team, Instant deadline) {
        settle(team, agent.retryAdmission(team, now()), deadline);
    }

    private void check(Permit permit) {
        boolean may = parts.variant() == Variant.NO_LAST_CHECK || agent.maySend(permit, now());
        if (!may) {
            refused++;
            agent.release(permit, RunStatus.ENDED, now());
            return;
        }
        long knownHere = known.version(permit.team());
        sending++;
        later(LONGEST_SEND_MS, () -> send(permit, knownHere));
    }

    private void send(Permit permit, long knownHere) {
        sending--;
        boolean loses = parts.random().nextInt(100) < parts.load().lostPercent();
        Duration length = parts.load().runLength();
        if (loses) {
            long lostAt = parts.random().nextLong(length.toMillis() + 1);
            parts.scheduler()
                    .schedule(
                            Duration.ofMillis(lostAt),
                            () ->
                                    deliver(
                                            () ->
                                                    agent.release(
                                                            permit,
                                                            RunStatus.POSSIBLY_RUNNING,
                                                            now())));
        }
        Runnable onEnd =
                loses
                        ? () -> {}
                        : () -> deliver(() -> agent.release(permit, RunStatus.ENDED, now()));
        int allowed = known.allowed(permit.team(), knownHere, clock());
        parts.upstreams().start(permit.team(), allowed, length, onEnd);
    }

    private void tell(LimitEvent event) {
        agent.handle(event, now()).forEach(this::carryOut);
    }

    private void carryOut(LimitAction action) {
        long number = ++callNumber;
        String holder = agent.holder();
        Supplier<LimitEvent> work = () -> parts.table().carryOut(action, holder);
        parts.network().call(dataCentre, work, e -> deliver(() -> answered(number, e)));
        if (action instanceof LimitAction.Commit && parts.variant() == Variant.CREDIT_FIRST) {
            callNumber++;
            tell(new LimitEvent.Committed());
        }
    }

    private void answered(long number, LimitEvent event) {
        if (number == callNumber) {
            if (event instanceof LimitEvent.RowsRead r) {
                r.rows().forEach((t, v) -> known.learn(t, v.value().limitVersion(), clock()));
            }
            tell(event);
        }
    }

    @Override
    public String toString() {
        return vm + "/" + incarnation;
    }
}
