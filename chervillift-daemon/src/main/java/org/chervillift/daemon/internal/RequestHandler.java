package org.chervillift.daemon.internal;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.core.keys.KeyDecision;

/** Takes a caller's request from its first line to its one answer. */
public final class RequestHandler {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MOST_TRIES = 3;
    private static final int KIB = 1024;
    private static final Team ANYONE = new Team("anyone", 1, 1_000_000);

    private final Supplier<FleetView> fleet;
    private final BiFunction<Optional<String>, Boolean, KeyDecision> keys;
    private final TeamAdmission admission;
    private final UpstreamChooser chooser;
    private final UpstreamClient client;
    private final DaemonSettings settings;
    private final RequestMetrics metrics;
    private boolean stopping;
    private int running;

    /**
     * Creates a handler.
     *
     * @param keys decides, for the key of a request and whether its queue is open, whose work it is
     */
    public RequestHandler(
            Supplier<FleetView> fleet,
            BiFunction<Optional<String>, Boolean, KeyDecision> keys,
            UpstreamClient client,
            DaemonSettings settings,
            RequestMetrics metrics) {
        this.fleet = Checks.notNull("fleet", fleet);
        this.keys = Checks.notNull("keys", keys);
        this.client = Checks.notNull("client", client);
        this.settings = Checks.notNull("settings", settings);
        this.metrics = Checks.notNull("metrics", metrics);
        this.admission = new TeamAdmission();
        this.chooser = new UpstreamChooser(settings.dataCentre());
    }

    /** Returns the number of requests that have no answer yet. */
    public int running() {
        return running;
    }

    /** Refuses new requests from now on. */
    public void stopTaking() {
        stopping = true;
    }

    /** Answers a request. */
    public Promise<HttpResponse> handle(HttpRequest request) {
        running++;
        long start = System.nanoTime();
        return answer(request)
                .then((r, fault) -> Promise.of(fault == null ? r : ofFault(fault)))
                .whenResult(r -> metrics.answered(r, System.nanoTime() - start))
                .whenComplete(() -> running--);
    }

    private Promise<HttpResponse> answer(HttpRequest request) {
        if (stopping) {
            return refuse(ErrorCode.SHUTTING_DOWN, "Another entry VM takes the request.");
        }
        CallerRequest parsed = CallerRequest.parse(request);
        FleetView view = fleet.get();
        Optional<Queue> queue = view.config().queue(parsed.queue());
        if (queue.isEmpty()) {
            return refuse(ErrorCode.UNKNOWN_QUEUE, "The queue is " + parsed.queue() + ".");
        }
        KeyDecision early = keys.apply(parsed.key(), queue.get().open());
        if (!(early instanceof KeyDecision.OfTeam || early instanceof KeyDecision.OfAnyone)) {
            return refuseKey(early);
        }
        return request.loadBody(settings.mostBodyKib() * KIB)
                .then(body -> admit(parsed, body.getArray(), queue.get()));
    }

    /**
     * Decides on the key once more, as the body of a slow caller takes longer than a withdrawal.
     */
    private Promise<HttpResponse> admit(CallerRequest request, byte[] body, Queue queue) {
        KeyDecision decision = keys.apply(request.key(), queue.open());
        Optional<Team> team =
                switch (decision) {
                    case KeyDecision.OfTeam t -> fleet.get().config().team(t.team());
                    case KeyDecision.OfAnyone a -> Optional.of(ANYONE);
                    case KeyDecision.Refused r -> Optional.empty();
                    case KeyDecision.NotFresh n -> Optional.empty();
                };
        return team.isEmpty() ? refuseKey(decision) : admit(request, body, queue, team.get());
    }

    private static Promise<HttpResponse> refuseKey(KeyDecision decision) {
        if (decision instanceof KeyDecision.NotFresh n) {
            Verdict verdict =
                    new Verdict.NotRun(
                            ErrorCode.NOT_FRESH,
                            "The platform and the other entry VMs cannot be reached.",
                            Optional.of(n.retryAfter()));
            return Promise.of(CallerAnswers.of(verdict));
        }
        return refuse(ErrorCode.KEY_REFUSED, "The queue needs the key of a team.");
    }

    private Promise<HttpResponse> admit(
            CallerRequest request, byte[] body, Queue queue, Team team) {
        if (!admission.tryStart(team)) {
            return refuse(ErrorCode.TEAM_LIMIT, "The limit is " + team.limit() + ".");
        }
        return tryUpstreams(request, body, queue, team, new HashSet<>())
                .whenComplete(() -> admission.end(team));
    }

    private Promise<HttpResponse> tryUpstreams(
            CallerRequest request, byte[] body, Queue queue, Team team, Set<String> tried) {
        Optional<VmRow> chosen = chooser.choose(fleet.get(), queue.pool(), tried);
        if (chosen.isEmpty() || tried.size() == MOST_TRIES) {
            return refuse(ErrorCode.NO_ROOM, "The pool is " + queue.pool() + ".");
        }
        VmRow upstream = chosen.get();
        chooser.started(upstream);
        return client.send(request, body, team.name(), upstream)
                .whenComplete(() -> chooser.ended(upstream))
                .then(
                        result -> {
                            if (mayTryAgain(request, result)) {
                                tried.add(upstream.id());
                                return tryUpstreams(request, body, queue, team, tried);
                            }
                            return Promise.of(toAnswer(result));
                        });
    }

    private static boolean mayTryAgain(CallerRequest request, UpstreamResult result) {
        return switch (result) {
            case UpstreamResult.Answered a -> false;
            case UpstreamResult.Failed f ->
                    request.isIdempotent() || f.verdict() instanceof Verdict.NotRun;
        };
    }

    private static HttpResponse toAnswer(UpstreamResult result) {
        return switch (result) {
            case UpstreamResult.Answered a -> CallerAnswers.completed(a);
            case UpstreamResult.Failed f -> CallerAnswers.of(f.verdict());
        };
    }

    private static HttpResponse ofFault(Exception fault) {
        if (fault instanceof ChervilliftException e) {
            return CallerAnswers.of(new Verdict.NotRun(e.code(), e.getMessage(), Optional.empty()));
        }
        return CallerAnswers.of(
                new Verdict.MayHaveRun(ErrorCode.INTERNAL, String.valueOf(fault.getMessage())));
    }

    private static Promise<HttpResponse> refuse(ErrorCode code, String detail) {
        Verdict verdict = new Verdict.NotRun(code, detail, Optional.of(RETRY_AFTER));
        return Promise.of(CallerAnswers.of(verdict));
    }
}
