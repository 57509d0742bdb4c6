package org.chervillift.http;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.chervillift.api.Checks;

/**
 * Notices from another thread that an event loop is held up by one of its tasks.
 *
 * <p>Such a loop can tell nothing of its own: no call is answered and no timer runs.
 */
public final class ReactorWatch {

    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
    private static final int FRAMES = 12;

    private final Eventloop reactor;
    private final Consumer<Stall> onStall;
    private final TurnCounter turns = new TurnCounter();
    private volatile Thread loopThread;
    private volatile long turn;

    /**
     * A loop that is held up.
     *
     * @param lasted for how long at least
     * @param stack where the loop is, innermost call first
     */
    public record Stall(Duration lasted, List<StackTraceElement> stack) {
        public Stall {
            Checks.notNull("lasted", lasted);
            stack = List.copyOf(stack);
        }
    }

    private ReactorWatch(Eventloop reactor, Consumer<Stall> onStall) {
        this.reactor = Checks.notNull("reactor", reactor);
        this.onStall = Checks.notNull("onStall", onStall);
    }

    /**
     * Watches an event loop for as long as the process runs.
     *
     * @param onStall told, on another thread, after each second in which the loop is held up
     */
    public static void start(Eventloop reactor, Consumer<Stall> onStall) {
        ReactorWatch watch = new ReactorWatch(reactor, onStall);
        reactor.execute(watch::takeTurn);
        Thread thread = new Thread(watch::run, "event-loop-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void takeTurn() {
        loopThread = Thread.currentThread();
        turn++;
        reactor.scheduleBackground(
                ScheduledRunnable.of(
                        reactor.currentTimeMillis() + CHECK_INTERVAL.toMillis() / 2,
                        this::takeTurn));
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(CHECK_INTERVAL);
                Thread loop = loopThread;
                int missed = turns.record(turn);
                if (missed > 0 && loop != null) {
                    StackTraceElement[] stack = loop.getStackTrace();
                    List<StackTraceElement> top =
                            Arrays.asList(stack).subList(0, Math.min(FRAMES, stack.length));
                    onStall.accept(new Stall(CHECK_INTERVAL.multipliedBy(missed), top));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Counts the checks between which a loop has taken no turn. */
    static final class TurnCounter {

        /** A loop that starts, or a process that was suspended, misses one check. */
        private static final int TOLERATED = 1;

        private long lastTurn = -1;
        private int missed;

        /** Records a check; returns the checks without a turn in a row, beyond those tolerated. */
        int record(long turn) {
            missed = turn == lastTurn ? missed + 1 : 0;
            lastTurn = turn;
            return Math.max(0, missed - TOLERATED);
        }
    }
}
