package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Holds back start orders until the store records what a new holder must know of the task: that its
 * step has begun in the pool of the worker, and after a crash of its worker that crash and the next
 * start. The worker of such a task must also have just shown that it is alive: if it then crashes
 * before it answers, the task is known to have been there.
 *
 * <p>When a holder is lost under load, its successor therefore knows which steps cannot have been
 * started. It starts these at once, even while some workers do not answer yet. When holders are
 * lost one after the other, each knows the crashes that its predecessors have seen.
 */
public final class StartGate {

    private final ProgressChanges changes;
    private final RunRegistry runs;
    private final Function<Order, Optional<Run>> findRun;
    private final Consumer<SchedulerEvent> events;
    private List<Order.Start> heldStarts = List.of();
    private Set<String> workersToAsk = Set.of();
    private OptionalLong lastRoundAt = OptionalLong.empty();
    private OptionalLong lastReleaseAt = OptionalLong.empty();

    /**
     * Creates a gate.
     *
     * @param findRun finds the run that an order refers to, if it is still open
     * @param events receives each start that is dropped
     */
    StartGate(
            ProgressChanges changes,
            RunRegistry runs,
            Function<Order, Optional<Run>> findRun,
            Consumer<SchedulerEvent> events) {
        this.changes = changes;
        this.runs = runs;
        this.findRun = findRun;
        this.events = events;
    }

    /** Returns whether starts are held back until progress is stored. */
    public boolean hasHeldStarts() {
        return !heldStarts.isEmpty();
    }

    /** Returns the workers of held-back starts that are to show first that they are alive. */
    public Set<String> workersToAsk() {
        return workersToAsk;
    }

    /** Returns when starts were last planned, in milliseconds. */
    OptionalLong lastRoundAt() {
        return lastRoundAt;
    }

    /** Returns when a start was last released, in milliseconds. */
    OptionalLong lastReleaseAt() {
        return lastReleaseAt;
    }

    /** Returns the starts that may be sent now, among new ones and those held back so far. */
    List<Order.Start> releaseReady(List<Order.Start> starts, long now) {
        heldStarts.forEach(s -> dropIfWorkerCannotTakeIt(s, now));
        List<Order.Start> ready = new ArrayList<>();
        List<Order.Start> held = new ArrayList<>();
        List<Run> heldRuns = new ArrayList<>();
        List<Order.Start> all = new ArrayList<>(heldStarts);
        all.addAll(starts);
        for (Order.Start start : all) {
            Optional<Run> run = startingRun(start);
            if (run.isEmpty()) {
                // The job was cancelled, the worker is gone, or the start was dropped.
                continue;
            }
            if (mayBeSent(run.get()) && areWorkersAlive(run.get(), now)) {
                run.get().markStartSent(now);
                ready.add(start);
            } else {
                hold(run.get());
                held.add(start);
                heldRuns.add(run.get());
            }
        }
        heldStarts = held;
        workersToAsk = workersToAsk(heldRuns, now);
        lastRoundAt = OptionalLong.of(now);
        lastReleaseAt = ready.isEmpty() ? lastReleaseAt : OptionalLong.of(now);
        return ready;
    }

    /** Returns the workers whose reports the stored ones of held-back starts wait for. */
    private static Set<String> workersToAsk(List<Run> held, long now) {
        return held.stream()
                .filter(StartGate::mayBeSent)
                .flatMap(StartGate::runsThatStartTogether)
                .map(Run::worker)
                .filter(w -> !w.isSurelyAlive(now))
                .map(WorkerRecord::id)
                .collect(Collectors.toSet());
    }

    /** Returns whether all is stored that a new holder must know of a start. */
    private static boolean mayBeSent(Run run) {
        StepEntry step = run.task().step();
        return step.job().layout() != ProgressLayout.MOVING_TO_PARTS
                && step.begunPools().isStored(run.worker().pool())
                && isStartStored(run);
    }

    /**
     * Returns whether the worker of a suspect has just shown that it is alive, so that its crash
     * before it answers is known to be under the task.
     */
    private static boolean areWorkersAlive(Run run, long now) {
        return runsThatStartTogether(run).noneMatch(r -> r.task().crashes().isSuspect())
                || runsThatStartTogether(run).allMatch(r -> r.worker().isSurelyAlive(now));
    }

    private static Stream<Run> runsThatStartTogether(Run run) {
        return run.task().step().spec().gang() ? run.task().step().runs() : Stream.of(run);
    }

    private void hold(Run run) {
        StepEntry step = run.task().step();
        step.begunPools().add(run.worker().pool());
        if (!step.begunPools().isStored(run.worker().pool())) {
            changes.stepChanged(step);
        }
        if (!run.task().crashes().isStartStored(run.number())) {
            changes.taskChanged(run.task());
        }
        run.holdStart();
    }

    private Optional<Run> startingRun(Order.Start start) {
        return findRun.apply(start).filter(r -> r.phase() == Run.Phase.STARTING);
    }

    /** Returns whether the starts are stored of all suspects that must start together. */
    private static boolean isStartStored(Run run) {
        StepEntry step = run.task().step();
        return step.spec().gang()
                ? step.tasks().kept().stream()
                        .allMatch(t -> t.crashes().isStartStored(run.number()))
                : run.task().crashes().isStartStored(run.number());
    }

    /**
     * Drops a start if its worker drains, does not answer, is evacuated, or has shrunk since the
     * start was planned. The task then waits again; a gang waits as a whole.
     */
    private void dropIfWorkerCannotTakeIt(Order.Start start, long now) {
        startingRun(start)
                .filter(r -> !r.worker().acceptsTasks(now) || r.worker().isOverCapacity())
                .ifPresent(this::drop);
    }

    private void drop(Run run) {
        StepEntry step = run.task().step();
        List<Run> dropped = step.spec().gang() ? step.runs().toList() : List.of(run);
        for (Run r : dropped) {
            runs.close(r);
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.START_DROPPED,
                            r,
                            "cause=" + run.worker().id() + " capacity=" + capacityOf(run)));
        }
    }

    private static long capacityOf(Run run) {
        return run.worker().entry().capacity().milliCores();
    }
}
