package org.chervillift.runtime.supervision;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Starts parts in order, restarts the one that fails, and stops them in reverse order.
 *
 * <p>A supervisor is a part itself, so supervisors form a tree. When restarts come too often the
 * supervisor fails, and the one above it decides. All calls come on the scheduler's thread.
 */
public final class Supervisor implements Part {

    private final String name;
    private final List<Part> parts;
    private final RestartPolicy policy;
    private final Scheduler scheduler;
    private final Deque<Instant> restarts = new ArrayDeque<>();
    private Consumer<Throwable> onFailure = e -> {};
    private boolean stopping;

    /** Creates a supervisor of parts, which start in the given order. */
    public Supervisor(String name, List<Part> parts, RestartPolicy policy, Scheduler scheduler) {
        this.name = Checks.notBlank("name", name);
        this.parts = List.copyOf(parts);
        this.policy = Checks.notNull("policy", policy);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> failureListener) {
        onFailure = failureListener;
        stopping = false;
        CompletionStage<Void> done = CompletableFuture.completedFuture(null);
        for (Part p : parts) {
            done = done.thenCompose(ignored -> startPart(p));
        }
        return done;
    }

    @Override
    public CompletionStage<Void> stop() {
        stopping = true;
        CompletionStage<Void> done = CompletableFuture.completedFuture(null);
        for (Part p : parts.reversed()) {
            done = done.thenCompose(ignored -> p.stop());
        }
        return done;
    }

    private CompletionStage<Void> startPart(Part part) {
        FailureOnce listener = new FailureOnce(part);
        return part.start(listener);
    }

    private void partFailed(Part part, Throwable fault) {
        if (stopping) {
            return;
        }
        EventLog.log(SupervisionEvent.PART_FAILED, fault, Field.of("part", part.name()));
        Instant now = scheduler.now();
        if (!mayRestart(now)) {
            EventLog.log(SupervisionEvent.GAVE_UP, Field.of("supervisor", name));
            onFailure.accept(fault);
            return;
        }
        restarts.addLast(now);
        part.stop().whenComplete((ignored, e) -> restartLater(part));
    }

    private boolean mayRestart(Instant now) {
        Instant windowStart = now.minus(policy.window());
        while (!restarts.isEmpty() && !restarts.peekFirst().isAfter(windowStart)) {
            restarts.removeFirst();
        }
        return restarts.size() < policy.mostRestarts();
    }

    private void restartLater(Part part) {
        scheduler.schedule(policy.delay(), () -> restart(part));
    }

    private void restart(Part part) {
        if (stopping) {
            return;
        }
        EventLog.log(SupervisionEvent.PART_RESTARTED, Field.of("part", part.name()));
        startPart(part)
                .whenComplete(
                        (ignored, e) -> {
                            if (e != null) {
                                partFailed(part, e);
                            }
                        });
    }

    /** Passes the first failure of one run of a part on, and drops later ones. */
    private final class FailureOnce implements Consumer<Throwable> {
        private final Part part;
        private boolean told;

        FailureOnce(Part part) {
            this.part = part;
        }

        @Override
        public void accept(Throwable fault) {
            if (!told) {
                told = true;
                partFailed(part, fault);
            }
        }
    }
}
