package org.chervillift.daemon.internal;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.keys.KeyDecision;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.daemon.requests.MemoryBudget;
import org.chervillift.daemon.requests.OutgoingRequest;

/** Takes a caller's request from its first line to its one answer. */
public final class RequestHandler {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int KIB = 1024;
    private static final long BODY_BYTES = 24L * KIB * KIB;
    private static final Team ANYONE = new Team("anyone", 1, 1_000_000);

    private final Supplier<FleetView> fleet;
    private final BiFunction<Optional<String>, Boolean, KeyDecision> keys;
    private final TeamAdmission admission;
    private final RequestPath path;
    private final Supplier<Instant> now;
    private final MemoryBudget bodies = new MemoryBudget(BODY_BYTES);
    private final DaemonSettings settings;
    private final RequestMetrics metrics;
    private boolean stopping;
    private int running;

    /**
     * Creates a handler.
     *
     * @param keys decides, for the key of a request and whether its queue is open, whose work it is
     * @param path carries out the course of each request
     * @param now gives the present time
     */
    public RequestHandler(
            Supplier<FleetView> fleet,
            BiFunction<Optional<String>, Boolean, KeyDecision> keys,
            RequestPath path,
            Supplier<Instant> now,
            DaemonSettings settings,
            RequestMetrics metrics) {
        this.fleet = Checks.notNull("fleet", fleet);
        this.keys = Checks.notNull("keys", keys);
        this.path = Checks.notNull("path", path);
        this.now = Checks.notNull("now", now);
        this.settings = Checks.notNull("settings", settings);
        this.metrics = Checks.notNull("metrics", metrics);
        this.admission = new TeamAdmission();
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
        return answerOrFault(request)
                .then((r, fault) -> Promise.of(fault == null ? r : ofFault(fault)))
                .whenResult(r -> metrics.answered(r, System.nanoTime() - start))
                .whenComplete(() -> running--);
    }

    private Promise<HttpResponse> answerOrFault(HttpRequest request) {
        try {
            return answer(request);
        } catch (ChervilliftException e) {
            return Promise.ofException(e);
        }
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
        if (!(early instanceof KeyDecision.Authenticated
                || early instanceof KeyDecision.Anonymous)) {
            return refuseKey(early);
        }
        return withBody(request, body -> admit(parsed, body, queue.get()));
    }

    private Promise<HttpResponse> withBody(
            HttpRequest request, Function<byte[], Promise<HttpResponse>> then) {
        int most = settings.mostBodyKib() * KIB;
        long bytes = bodyBytes(request, most);
        if (bytes > most) {
            return refuse(ErrorCode.TOO_LARGE, "A body may have " + most + " bytes.");
        }
        if (!bodies.tryReserve(bytes)) {
            return refuse(ErrorCode.NO_ROOM, "Too many bodies are on their way.");
        }
        return request.loadBody(most)
                .then(
                        (body, fault) ->
                                fault == null
                                        ? then.apply(body.getArray())
                                        : refuse(ErrorCode.TOO_LARGE, "The body cannot be read."))
                .whenComplete(() -> bodies.release(bytes));
    }

    /** Returns the length that the caller tells, or the most where it tells none. */
    private static long bodyBytes(HttpRequest request, int most) {
        String told = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (told != null) {
            return told.strip().matches("[0-9]{1,9}") ? Long.parseLong(told.strip()) : most + 1L;
        }
        return request.getHeader(HttpHeaders.TRANSFER_ENCODING) == null ? 0 : most;
    }

    /**
     * Decides on the key once more, as the body of a slow caller takes longer than a withdrawal.
     */
    private Promise<HttpResponse> admit(CallerRequest request, byte[] body, Queue queue) {
        KeyDecision decision = keys.apply(request.key(), queue.open());
        Optional<Team> team =
                switch (decision) {
                    case KeyDecision.Authenticated t -> fleet.get().config().team(t.team());
                    case KeyDecision.Anonymous a -> Optional.of(ANYONE);
                    case KeyDecision.Refused r -> Optional.empty();
                    case KeyDecision.RingStale n -> Optional.empty();
                };
        return team.isEmpty() ? refuseKey(decision) : admit(request, body, queue, team.get());
    }

    private static Promise<HttpResponse> refuseKey(KeyDecision decision) {
        if (decision instanceof KeyDecision.RingStale n) {
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
        SettablePromise<HttpResponse> answered = new SettablePromise<>();
        path.run(
                facts(request, body, queue, team),
                outgoing(request, body, team),
                answer -> answered.set(CallerAnswers.of(answer)));
        return answered.whenComplete(() -> admission.end(team));
    }

    /** The entry VM that relays a request has claimed its identifier; here it is only passed on. */
    private RequestFacts facts(CallerRequest request, byte[] body, Queue queue, Team team) {
        boolean anyone = team.name().equals(ANYONE.name());
        Optional<ClaimKey> claimKey =
                request.identifier()
                        .filter(i -> !request.isIdempotent() && !request.relayed())
                        .map(
                                i ->
                                        anyone
                                                ? ClaimKey.ofOpenQueue(queue.name(), i)
                                                : ClaimKey.ofTeam(team.name(), i));
        return new RequestFacts(
                queue.pool(),
                request.isIdempotent(),
                claimKey,
                claimKey.isEmpty() ? "" : RequestDigests.of(request, body),
                request.relayed(),
                now.get().plus(request.deadline().orElse(settings.upstreamTimeout())));
    }

    private static OutgoingRequest outgoing(CallerRequest request, byte[] body, Team team) {
        return new OutgoingRequest(
                request.method().name(),
                request.queue(),
                request.path(),
                request.headers(),
                team.name(),
                request.identifier(),
                request.authorization(),
                body);
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
