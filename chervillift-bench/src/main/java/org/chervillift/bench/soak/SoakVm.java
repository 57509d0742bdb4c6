package org.chervillift.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.chervillift.core.claims.ClaimCommitter;
import org.chervillift.core.claims.ClaimSettings;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.requests.RetryContext;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.RelayChooser;
import org.chervillift.core.routing.Router;
import org.chervillift.core.routing.RoutingSettings;
import org.chervillift.core.routing.Upstream;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.ClaimClient;
import org.chervillift.daemon.requests.ClaimRowMapper;
import org.chervillift.daemon.requests.OutgoingRequest;
import org.chervillift.daemon.requests.RequestServices;
import org.chervillift.runtime.supervision.Scheduler;

/** One process on an entry VM: the real classes over fakes; it can be killed and paused. */
final class SoakVm implements Scheduler, Executor {

    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double MOST_RETRIES = 50;

    private static final Duration TICK = Duration.ofMillis(500);

    private final EntryVm id;
    private final Scheduler world;
    private final RequestServices tools;
    private final Map<Long, Consumer<CallerResponse>> open = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private boolean alive = true;
    private boolean paused;
    private boolean disturbed;

    SoakVm(EntryVm id, String incarnation, SoakWorld world, Random random) {
        this.id = id;
        this.world = world.scheduler();
        RoutingSettings routing = RoutingSettings.DEFAULT;
        this.tools =
                new RequestServices(
                        new ClaimClient(
                                new ClaimCommitter(ClaimSettings.DEFAULT, id.id()),
                                new ClaimRowMapper(incarnation),
                                world.platform(),
                                this,
                                this),
                        new Router(routing, id.id(), id.dataCentre()),
                        new RelayChooser(routing, id.id(), id.dataCentre()),
                        new RetryContext(
                                RetryPolicy.DEFAULT,
                                new RetryBudget(RETRIES_PER_REQUEST, MOST_RETRIES),
                                random),
                        new SoakNetwork(world, this),
                        this);
        tick();
    }

    private void tick() {
        tools.router().tick(now());
        schedule(TICK, this::tick);
    }

    EntryVm id() {
        return id;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return paused;
    }

    boolean wasDisturbed() {
        return disturbed;
    }

    void update(List<Upstream> upstreams, List<EntryVm> entryVms) {
        Instant askedAt = now();
        execute(
                () -> {
                    tools.router().update(upstreams, entryVms, askedAt, now());
                    tools.relays().update(entryVms);
                    tools.claims().setLiveEntryVms(entryVms.size());
                });
    }

    /** Takes a request; the answer is null where the process died before it answered. */
    void take(
            long tag,
            RequestFacts facts,
            OutgoingRequest request,
            Consumer<CallerResponse> onAnswer) {
        if (!alive) {
            onAnswer.accept(null);
            return;
        }
        open.put(tag, onAnswer);
        execute(
                () ->
                        tools.start(
                                facts,
                                request,
                                answer -> {
                                    if (open.remove(tag) != null) {
                                        onAnswer.accept(answer);
                                    } else {
                                        throw new IllegalStateException("answered twice");
                                    }
                                }));
    }

    /** Ends the process at once; nothing of it happens any more. */
    void kill() {
        alive = false;
        held.clear();
        List<Consumer<CallerResponse>> cut = new ArrayList<>(open.values());
        open.clear();
        cut.forEach(c -> c.accept(null));
    }

    void pause() {
        paused = true;
        disturbed = true;
    }

    void resume() {
        paused = false;
        List<Runnable> due = new ArrayList<>(held);
        held.clear();
        due.forEach(this::execute);
    }

    @Override
    public void execute(Runnable task) {
        if (!alive) {
            return;
        }
        if (paused) {
            held.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public Instant now() {
        return world.now();
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable task) {
        return world.schedule(delay, () -> execute(task));
    }
}
