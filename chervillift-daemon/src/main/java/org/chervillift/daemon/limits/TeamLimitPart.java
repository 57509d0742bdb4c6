package org.chervillift.daemon.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Team;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.limits.Admission;
import org.chervillift.core.limits.LimitAction;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.core.limits.Permit;
import org.chervillift.core.limits.RunStatus;
import org.chervillift.core.limits.TeamLimiter;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Enforces the team limits on this entry VM with a {@link TeamLimiter}.
 *
 * <p>The limiter is created at the first start and kept when the part is restarted, because its
 * permits cover requests that are still running.
 */
public final class TeamLimitPart implements Part {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration ADMISSION_RETRY_INTERVAL = Duration.ofMillis(10);
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);

    private final LimitStore store;
    private final Scheduler scheduler;
    private final Function<Instant, TeamLimiter> limiterFactory;
    private final Supplier<FleetConfig> config;
    private TeamLimiter limiter;
    private long adoptedVersion;
    private boolean running;
    private boolean leaseValid;

    /**
     * Creates the part.
     *
     * @param limiterFactory creates the limiter; called once, after the process has bound its
     *     addresses
     */
    public TeamLimitPart(
            Platform platform,
            Scheduler scheduler,
            Function<Instant, TeamLimiter> limiterFactory,
            Supplier<FleetConfig> config) {
        this.store = new LimitStore(platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.limiterFactory = Checks.notNull("limiterFactory", limiterFactory);
        this.config = Checks.notNull("config", config);
    }

    /**
     * Requests a permit, and retries for a short time if the platform may have a free one.
     *
     * @param until when to give up at the latest
     * @param onAnswer receives {@link Admission.Admitted} or {@link Admission.Refused}
     */
    public void admit(String team, Instant until, Consumer<Admission> onAnswer) {
        adoptLimits();
        Admission first = limiter.admit(team, scheduler.now());
        if (first instanceof Admission.Pending p) {
            execute(limiter.handle(new LimitEvent.Tick(), scheduler.now()));
            Instant pendingUntil = scheduler.now().plus(p.within());
            scheduleRetry(team, pendingUntil.isBefore(until) ? pendingUntil : until, onAnswer);
        } else {
            onAnswer.accept(first);
        }
    }

    private void scheduleRetry(String team, Instant until, Consumer<Admission> onAnswer) {
        scheduler.schedule(ADMISSION_RETRY_INTERVAL, () -> retryAdmission(team, until, onAnswer));
    }

    private void retryAdmission(String team, Instant until, Consumer<Admission> onAnswer) {
        Admission answer = limiter.retryAdmission(team, scheduler.now());
        if (answer instanceof Admission.Pending p) {
            if (scheduler.now().isBefore(until)) {
                scheduleRetry(team, until, onAnswer);
            } else {
                onAnswer.accept(new Admission.Refused(p.within()));
            }
        } else {
            onAnswer.accept(answer);
        }
    }

    /**
     * Returns whether a request may be sent now; to be called just before its first byte is sent.
     */
    public boolean maySend(Permit permit) {
        return limiter.maySend(permit, scheduler.now());
    }

    /** Releases a permit; to be called exactly once for each permit. */
    public void release(Permit permit, RunStatus status) {
        limiter.release(permit, status, scheduler.now());
    }

    @Override
    public String name() {
        return "team-limits";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        if (limiter == null) {
            limiter = limiterFactory.apply(scheduler.now());
        }
        tick();
        return CompletableFuture.completedFuture(null);
    }

    /** Returns all permits, as far as the platform answers within the timeout. */
    @Override
    public CompletionStage<Void> stop() {
        execute(limiter.handle(new LimitEvent.ShutdownStarted(), scheduler.now()));
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        awaitShutdown(scheduler.now().plus(SHUTDOWN_TIMEOUT), stopped);
        return stopped;
    }

    private void awaitShutdown(Instant deadline, CompletableFuture<Void> stopped) {
        boolean allReturned = limiter.isShutdownComplete();
        if (allReturned || !scheduler.now().isBefore(deadline)) {
            running = false;
            EventLog.log(
                    allReturned
                            ? TeamLimitEvent.PERMITS_RETURNED
                            : TeamLimitEvent.PERMITS_NOT_RETURNED);
            stopped.complete(null);
        } else {
            scheduler.schedule(TICK_INTERVAL, () -> awaitShutdown(deadline, stopped));
        }
    }

    private void tick() {
        if (!running) {
            return;
        }
        adoptLimits();
        execute(limiter.handle(new LimitEvent.Tick(), scheduler.now()));
        logLeaseChange();
        scheduler.schedule(TICK_INTERVAL, this::tick);
    }

    private void adoptLimits() {
        FleetConfig current = config.get();
        if (current.version() > adoptedVersion) {
            adoptedVersion = current.version();
            Map<String, Integer> limits =
                    current.teams().stream().collect(Collectors.toMap(Team::name, Team::limit));
            execute(
                    limiter.handle(
                            new LimitEvent.LimitsAdopted(current.version(), limits),
                            scheduler.now()));
        }
    }

    private void logLeaseChange() {
        boolean valid = limiter.isLeaseValid(scheduler.now());
        if (valid != leaseValid && !limiter.isShutdownComplete()) {
            leaseValid = valid;
            EventLog.log(
                    valid ? TeamLimitEvent.LEASE_ACQUIRED : TeamLimitEvent.LEASE_EXPIRED,
                    Field.of("holder", limiter.holder()));
        }
    }

    private void execute(List<LimitAction> actions) {
        for (LimitAction a : actions) {
            store.execute(a, limiter.holder())
                    .handle(
                            (event, fault) ->
                                    fault == null ? event : new LimitEvent.RequestFailed())
                    .thenAccept(e -> execute(limiter.handle(e, scheduler.now())));
        }
    }
}
