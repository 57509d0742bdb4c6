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
 * Holds the upper limits of teams at this entry VM.
 *
 * <p>One agent lives as long as the process, also when the part is started again, as its permits
 * cover requests that still run.
 */
public final class TeamLimits implements Part {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration ASK_AGAIN = Duration.ofMillis(10);
    private static final Duration HANDOVER_BOUND = Duration.ofSeconds(5);

    private final LimitStore store;
    private final Scheduler scheduler;
    private final Function<Instant, TeamLimiter> newAgent;
    private final Supplier<FleetConfig> config;
    private TeamLimiter agent;
    private long adopted;
    private boolean running;
    private boolean leaseValid;

    /**
     * Creates the part.
     *
     * @param newAgent called once, when the process has bound its addresses
     */
    public TeamLimits(
            Platform platform,
            Scheduler scheduler,
            Function<Instant, TeamLimiter> newAgent,
            Supplier<FleetConfig> config) {
        this.store = new LimitStore(platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.newAgent = Checks.notNull("newAgent", newAgent);
        this.config = Checks.notNull("config", config);
    }

    /**
     * Asks for a permit, and waits a short time where the platform may have one to give.
     *
     * @param until the end of the wait at the latest
     * @param onAnswer told {@link Admission.Admitted} or {@link Admission.Refused}
     */
    public void admit(String team, Instant until, Consumer<Admission> onAnswer) {
        adoptLimits();
        Admission first = agent.admit(team, scheduler.now());
        if (first instanceof Admission.Pending p) {
            perform(agent.handle(new LimitEvent.Tick(), scheduler.now()));
            Instant most = scheduler.now().plus(p.within());
            askLater(team, most.isBefore(until) ? most : until, onAnswer);
        } else {
            onAnswer.accept(first);
        }
    }

    private void askLater(String team, Instant until, Consumer<Admission> onAnswer) {
        scheduler.schedule(ASK_AGAIN, () -> askAgain(team, until, onAnswer));
    }

    private void askAgain(String team, Instant until, Consumer<Admission> onAnswer) {
        Admission answer = agent.retryAdmission(team, scheduler.now());
        if (answer instanceof Admission.Pending p) {
            if (scheduler.now().isBefore(until)) {
                askLater(team, until, onAnswer);
            } else {
                onAnswer.accept(new Admission.Refused(p.within()));
            }
        } else {
            onAnswer.accept(answer);
        }
    }

    /** Returns whether a request may be sent now; asked at the last moment before its bytes. */
    public boolean maySend(Permit permit) {
        return agent.maySend(permit, scheduler.now());
    }

    /** Takes a permit back; called exactly once for each permit. */
    public void end(Permit permit, RunStatus end) {
        agent.release(permit, end, scheduler.now());
    }

    @Override
    public String name() {
        return "team-limits";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        if (agent == null) {
            agent = newAgent.apply(scheduler.now());
        }
        tick();
        return CompletableFuture.completedFuture(null);
    }

    /** Gives all permits back, as far as the platform answers in time. */
    @Override
    public CompletionStage<Void> stop() {
        perform(agent.handle(new LimitEvent.ShutdownStarted(), scheduler.now()));
        CompletableFuture<Void> left = new CompletableFuture<>();
        awaitHandover(scheduler.now().plus(HANDOVER_BOUND), left);
        return left;
    }

    private void awaitHandover(Instant until, CompletableFuture<Void> left) {
        boolean clean = agent.isShutdownComplete();
        if (clean || !scheduler.now().isBefore(until)) {
            running = false;
            EventLog.log(clean ? LimitsEvent.HANDED_OVER : LimitsEvent.NOT_HANDED_OVER);
            left.complete(null);
        } else {
            scheduler.schedule(TICK, () -> awaitHandover(until, left));
        }
    }

    private void tick() {
        if (!running) {
            return;
        }
        adoptLimits();
        perform(agent.handle(new LimitEvent.Tick(), scheduler.now()));
        noteLease();
        scheduler.schedule(TICK, this::tick);
    }

    private void adoptLimits() {
        FleetConfig now = config.get();
        if (now.version() > adopted) {
            adopted = now.version();
            Map<String, Integer> limits =
                    now.teams().stream().collect(Collectors.toMap(Team::name, Team::limit));
            perform(
                    agent.handle(
                            new LimitEvent.LimitsAdopted(now.version(), limits), scheduler.now()));
        }
    }

    private void noteLease() {
        boolean valid = agent.isLeaseValid(scheduler.now());
        if (valid != leaseValid && !agent.isShutdownComplete()) {
            leaseValid = valid;
            EventLog.log(
                    valid ? LimitsEvent.LEASE_TAKEN : LimitsEvent.LEASE_ENDED,
                    Field.of("holder", agent.holder()));
        }
    }

    private void perform(List<LimitAction> actions) {
        for (LimitAction a : actions) {
            store.carryOut(a, agent.holder())
                    .handle(
                            (event, fault) ->
                                    fault == null ? event : new LimitEvent.RequestFailed())
                    .thenAccept(e -> perform(agent.handle(e, scheduler.now())));
        }
    }
}
