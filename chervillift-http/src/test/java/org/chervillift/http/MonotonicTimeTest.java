package org.chervillift.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MonotonicTimeTest {

    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration TIMER = Duration.ofMillis(50);
    private static final Duration IDLE_WAIT = Duration.ofSeconds(1);
    private static final Duration GUARD = Duration.ofSeconds(2);

    @Test
    void startsFromTheWallClockAndFollowsTheMonotonicClock() {
        AtomicLong nanos = new AtomicLong(Long.MAX_VALUE - 1_000_000);
        MonotonicTime time = new MonotonicTime(START_MILLIS, nanos::get);
        assertThat(time.currentTimeMillis()).isEqualTo(START_MILLIS);
        long step = MonotonicTime.MAX_STEP.toMillis();
        for (long passed = step; passed <= HOUR.toMillis(); passed += step) {
            nanos.addAndGet(MonotonicTime.MAX_STEP.toNanos());
            assertThat(time.currentTimeMillis()).isEqualTo(START_MILLIS + passed);
        }
    }

    @Test
    void countsLittleOfTheTimeForWhichTheLoopWasHeldUp() {
        AtomicLong nanos = new AtomicLong();
        MonotonicTime time = new MonotonicTime(START_MILLIS, nanos::get);
        nanos.addAndGet(HOUR.toNanos());
        assertThat(time.currentTimeMillis())
                .isEqualTo(START_MILLIS + MonotonicTime.MAX_STEP.toMillis());
    }

    /** Returns whether a timer fires soon after the wall clock was set back by an hour. */
    private static boolean firesAfterAStepBack(CurrentTimeProvider time, AtomicLong stepMillis) {
        Eventloop loop = Reactors.create("step", Throwable::printStackTrace, time);
        boolean[] fired = {false};
        loop.execute(
                () -> {
                    loop.schedule(
                            ScheduledRunnable.of(
                                    loop.currentTimeMillis() + TIMER.toMillis(),
                                    () -> {
                                        fired[0] = true;
                                        loop.breakEventloop();
                                    }));
                    stepMillis.set(-HOUR.toMillis());
                });
        Thread guard =
                new Thread(
                        () -> {
                            sleep(GUARD);
                            loop.execute(loop::breakEventloop);
                        });
        guard.setDaemon(true);
        guard.start();
        loop.run();
        return fired[0];
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All timers, timeouts and retries of a process stopped for as long as the step back. */
    @Test
    void timersFireAfterTheWallClockWasSetBack() {
        AtomicLong stepMillis = new AtomicLong();
        CurrentTimeProvider wallClock = () -> System.currentTimeMillis() + stepMillis.get();
        assertThat(firesAfterAStepBack(wallClock, stepMillis)).as("by the wall clock").isFalse();

        stepMillis.set(0);
        MonotonicTime time = new MonotonicTime(wallClock.currentTimeMillis(), System::nanoTime);
        assertThat(firesAfterAStepBack(time, stepMillis)).as("by monotonic time").isTrue();
    }

    /** Waits for a timer far away counted little, so that timeouts took many times as long. */
    @Test
    void theTimeOfAnIdleLoopCountsWhole() {
        Eventloop loop = Reactors.create("idle", Throwable::printStackTrace);
        loop.keepAlive(true);
        long startNanos = System.nanoTime();
        loop.post(
                () ->
                        loop.scheduleBackground(
                                ScheduledRunnable.of(
                                        loop.currentTimeMillis() + IDLE_WAIT.toMillis(),
                                        loop::breakEventloop)));
        loop.run();
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos))
                .isLessThan(IDLE_WAIT.multipliedBy(2));
    }
}
