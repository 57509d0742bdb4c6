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

/** Validates, authenticates and runs callers' requests, with exactly one response each. */
public final class RequestHandler {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int KIB = 1024;
    private static final long REQUEST_BODY_BUDGET_BYTES = 24L * KIB * KIB;
    private static final Team ANONYMOUS_TEAM = new Team("anyone", 1, 1_000_000);

    private final Supplier<FleetSnapshot> fleetSnapshot;
    private final BiFunction<Optional<String>, Boolean, KeyDecision> authenticator;
    private final TeamConcurrencyLimiter teamLimiter;
    private final RequestPipeline pipeline;
    private final Supplier<Instant> clock;
    private final MemoryBudget bodyBudget = new MemoryBudget(REQUEST_BODY_BUDGET_BYTES);
    private final DaemonSettings settings;
    private final RequestMetrics metrics;
    private boolean stopping;
    private int runningRequests;

    /**
     * Creates a handler.
     *
     * @param authenticator authenticates a request by its key and by whether its queue is open
     * @param pipeline runs the authenticated requests
     * @param clock returns the current time
     */
    public RequestHandler(
            Supplier<FleetSnapshot> fleetSnapshot,
            BiFunction<Optional<String>, Boolean, KeyDecision> authenticator,
            RequestPipeline pipeline,
            Supplier<Instant> clock,
            DaemonSettings settings,
            RequestMetrics metrics) {
        this.fleetSnapshot = Checks.notNull("fleetSnapshot", fleetSnapshot);
        this.authenticator = Checks.notNull("authenticator", authenticator);
        this.pipeline = Checks.notNull("pipeline", pipeline);
        this.clock = Checks.notNull("clock", clock);
        this.settings = Checks.notNull("settings", settings);
        this.metrics = Checks.notNull("metrics", metrics);
        this.teamLimiter = new TeamConcurrencyLimiter();
    }

    /** Returns the number of requests without a response yet. */
    public int runningRequests() {
        return runningRequests;
    }

    /** Refuses new requests from now on. */
    public void stopAccepting() {
        stopping = true;
    }

    /** Processes a request; turns an error into a response. */
    public Promise<HttpResponse> handle(HttpRequest request) {
        runningRequests++;
        long start = System.nanoTime();
        return tryRespond(request)
                .then((r, error) -> Promise.of(error == null ? r : errorResponse(error)))
                .whenResult(r -> metrics.recordResponse(r, System.nanoTime() - start))
                .whenComplete(() -> runningRequests--);
    }

    private Promise<HttpResponse> tryRespond(HttpRequest request) {
        try {
            return respond(request);
        } catch (ChervilliftException e) {
            return Promise.ofException(e);
        }
    }

    private Promise<HttpResponse> respond(HttpRequest request) {
        if (stopping) {
            return refuse(ErrorCode.SHUTTING_DOWN, "Send the request to another entry VM.");
        }
        CallerRequest callerRequest = CallerRequest.parse(request);
        FleetSnapshot snapshot = fleetSnapshot.get();
        Optional<Queue> queue = snapshot.config().queue(callerRequest.queue());
        if (queue.isEmpty()) {
            return refuse(
                    ErrorCode.UNKNOWN_QUEUE, "There is no queue " + callerRequest.queue() + ".");
        }
        KeyDecision decision = authenticator.apply(callerRequest.teamKey(), queue.get().open());
        if (!(decision instanceof KeyDecision.Authenticated
                || decision instanceof KeyDecision.Anonymous)) {
            return refuseForKey(decision);
        }
        return loadBody(request, body -> authorizeAndRun(callerRequest, body, queue.get()));
    }

    private Promise<HttpResponse> loadBody(
            HttpRequest request, Function<byte[], Promise<HttpResponse>> onBody) {
        int maxBytes = settings.maxBodyKib() * KIB;
        long bytes = bytesToReserve(request, maxBytes);
        if (bytes > maxBytes) {
            return refuse(ErrorCode.TOO_LARGE, "A body may have at most " + maxBytes + " bytes.");
        }
        if (!bodyBudget.tryReserve(bytes)) {
            return refuse(ErrorCode.NO_ROOM, "There is not enough memory left for the body.");
        }
        return request.loadBody(maxBytes)
                .then(
                        (body, error) ->
                                error == null
                                        ? onBody.apply(body.getArray())
                                        : refuse(ErrorCode.TOO_LARGE, "The body cannot be read."))
                .whenComplete(() -> bodyBudget.release(bytes));
    }

    /** Returns the Content-Length, or the maximum for a chunked body, whose length is unknown. */
    private static long bytesToReserve(HttpRequest request, int maxBytes) {
        String contentLength = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (contentLength != null) {
            return contentLength.strip().matches("[0-9]{1,9}")
                    ? Long.parseLong(contentLength.strip())
                    : maxBytes + 1L;
        }
        return request.getHeader(HttpHeaders.TRANSFER_ENCODING) == null ? 0 : maxBytes;
    }

    /**
     * Authenticates again and runs the request.
     *
     * <p>The key may have been withdrawn meanwhile: a slow caller takes longer to send the body
     * than a withdrawal takes.
     */
    private Promise<HttpResponse> authorizeAndRun(CallerRequest request, byte[] body, Queue queue) {
        KeyDecision decision = authenticator.apply(request.teamKey(), queue.open());
        Optional<Team> team =
                switch (decision) {
                    case KeyDecision.Authenticated authenticated ->
                            fleetSnapshot.get().config().team(authenticated.team());
                    case KeyDecision.Anonymous anonymous -> Optional.of(ANONYMOUS_TEAM);
                    case KeyDecision.Refused refused -> Optional.empty();
                    case KeyDecision.RingStale stale -> Optional.empty();
                };
        return team.isEmpty()
                ? refuseForKey(decision)
                : authorizeAndRun(request, body, queue, team.get());
    }

    private static Promise<HttpResponse> refuseForKey(KeyDecision decision) {
        if (decision instanceof KeyDecision.RingStale stale) {
            Verdict verdict =
                    new Verdict.NotRun(
                            ErrorCode.NOT_FRESH,
                            "The platform and the other entry VMs cannot be reached.",
                            Optional.of(stale.retryAfter()));
            return Promise.of(CallerHttpResponses.of(verdict));
        }
        return refuse(ErrorCode.KEY_REFUSED, "The queue needs the key of a team.");
    }

    private Promise<HttpResponse> authorizeAndRun(
            CallerRequest request, byte[] body, Queue queue, Team team) {
        if (!teamLimiter.tryAcquire(team)) {
            return refuse(
                    ErrorCode.TEAM_LIMIT,
                    "The limit of the team is " + team.limit() + " running requests.");
        }
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        pipeline.execute(
                requestFacts(request, body, queue, team),
                outgoingRequest(request, body, team),
                answer -> response.set(CallerHttpResponses.of(answer)));
        return response.whenComplete(() -> teamLimiter.release(team));
    }

    /**
     * Returns the properties that decide how the request is processed.
     *
     * <p>A relayed request needs no claim here: the entry VM that relayed it has claimed its
     * identifier, and this one only passes the identifier on.
     */
    private RequestFacts requestFacts(CallerRequest request, byte[] body, Queue queue, Team team) {
        boolean isAnonymous = team.name().equals(ANONYMOUS_TEAM.name());
        Optional<ClaimKey> claimKey =
                request.identifier()
                        .filter(i -> !request.isIdempotent() && !request.relayed())
                        .map(
                                i ->
                                        isAnonymous
                                                ? ClaimKey.ofOpenQueue(queue.name(), i)
                                                : ClaimKey.ofTeam(team.name(), i));
        return new RequestFacts(
                queue.pool(),
                request.isIdempotent(),
                claimKey,
                claimKey.isEmpty() ? "" : RequestDigests.of(request, body),
                request.relayed(),
                clock.get().plus(request.timeout().orElse(settings.upstreamTimeout())));
    }

    private static OutgoingRequest outgoingRequest(CallerRequest request, byte[] body, Team team) {
        return new OutgoingRequest(
                request.method().name(),
                request.queue(),
                request.pathAndQuery(),
                request.headers(),
                team.name(),
                request.identifier(),
                request.authorization(),
                body);
    }

    private static HttpResponse errorResponse(Exception error) {
        if (error instanceof ChervilliftException e) {
            return CallerHttpResponses.of(
                    new Verdict.NotRun(e.code(), e.getMessage(), Optional.empty()));
        }
        return CallerHttpResponses.of(
                new Verdict.MayHaveRun(ErrorCode.INTERNAL, String.valueOf(error.getMessage())));
    }

    private static Promise<HttpResponse> refuse(ErrorCode code, String detail) {
        Verdict verdict = new Verdict.NotRun(code, detail, Optional.of(RETRY_AFTER));
        return Promise.of(CallerHttpResponses.of(verdict));
    }
}
