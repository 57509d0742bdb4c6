package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chervillift.runtime.supervision.Scheduler;

/** The thread of one process in virtual time: can be paused and killed, and reports faults. */
final class SoakProcess implements Scheduler {

    private static final int MAX_JITTER_MICROS = 2_000;

    private final Scheduler base;
    private final Random random;
    private final Consumer<Throwable> faults;
    private final List<Runnable> held = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    SoakProcess(Scheduler base, Random random, Consumer<Throwable> faults) {
        this.base = base;
        this.random = random;
        this.faults = faults;
    }

    @Override
    public Instant now() {
        return base.now();
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable task) {
        return base.schedule(delay, () -> run(task));
    }

    private void run(Runnable task) {
        if (dead) {
            return;
        }
        if (paused) {
            held.add(task);
            return;
        }
        try {
            task.run();
        } catch (RuntimeException e) {
            faults.accept(e);
        }
    }

    boolean isAwake() {
        return !dead && !paused;
    }

    boolean isDead() {
        return dead;
    }

    void kill() {
        dead = true;
        held.clear();
    }

    /** Holds back all timers and answers from now on. */
    void pause() {
        paused = true;
    }

    /** Runs what was held back, in its order. */
    void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(held);
        held.clear();
        tasks.forEach(this::run);
    }

    /** Returns a future whose callbacks are watched. */
    <T> CompletableFuture<T> newFuture() {
        return new RecordingFuture<>(faults);
    }

    /** Completes a future in this process a moment later, so that the order of answers varies. */
    <T> void complete(CompletableFuture<T> future, T value, Throwable fault) {
        Duration jitter = Duration.ofNanos(1_000L * random.nextInt(MAX_JITTER_MICROS));
        schedule(
                jitter,
                () -> {
                    if (fault == null) {
                        future.complete(value);
                    } else {
                        future.completeExceptionally(fault);
                    }
                });
    }

    /** Passes the result of a stand-in on to this process. */
    <T> void pass(CompletionStage<T> stage, CompletableFuture<T> future) {
        stage.whenComplete((value, fault) -> complete(future, value, fault));
    }
}
