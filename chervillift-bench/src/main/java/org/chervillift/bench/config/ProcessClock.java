package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.runtime.supervision.Scheduler;

/** The clock of one process: it is set wrong, runs at its own rate, and its process may pause. */
final class ProcessClock implements Scheduler {

    private final ManualScheduler time;
    private final Duration offset;
    private final double rate;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    ProcessClock(ManualScheduler time, Duration offset, double rate) {
        this.time = time;
        this.offset = offset;
        this.rate = rate;
    }

    @Override
    public Instant now() {
        double millis = Duration.between(Instant.EPOCH, time.now()).toMillis() * rate;
        return Instant.EPOCH.plusMillis((long) millis).plus(offset);
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable task) {
        Duration real = Duration.ofMillis((long) Math.ceil(delay.toMillis() / rate));
        return time.schedule(real, () -> run(task));
    }

    /** Runs a step of this process now, or when it wakes; never after its end. */
    void run(Runnable step) {
        if (dead) {
            return;
        }
        if (paused) {
            waiting.add(step);
        } else {
            step.run();
        }
    }

    boolean paused() {
        return paused;
    }

    void pause() {
        paused = true;
    }

    void wake() {
        paused = false;
        List<Runnable> steps = List.copyOf(waiting);
        waiting.clear();
        steps.forEach(this::run);
    }

    void end() {
        dead = true;
    }
}
