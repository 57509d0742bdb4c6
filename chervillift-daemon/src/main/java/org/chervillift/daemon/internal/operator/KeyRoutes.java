package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.core.keys.FreshnessRules;
import org.chervillift.daemon.internal.DaemonEvent;
import org.chervillift.daemon.internal.FleetFollower;
import org.chervillift.daemon.internal.OperatorAuthServlet;
import org.chervillift.daemon.internal.keys.KeyChangeOutcome;
import org.chervillift.daemon.internal.keys.KeyOperations;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Serves operators' requests to grant, withdraw and list keys.
 *
 * <p>The operators' tool generates the key and sends only its hash. So no server process ever holds
 * a key that it could leak, and a grant can be retried after a lost reply.
 */
public final class KeyRoutes implements OperatorRoutes {

    private final KeyOperations operations;
    private final FleetFollower follower;
    private final Scheduler scheduler;
    private final FreshnessRules rules;

    /** Creates the routes. */
    public KeyRoutes(
            KeyOperations operations,
            FleetFollower follower,
            Scheduler scheduler,
            FreshnessRules rules) {
        this.operations = Checks.notNull("operations", operations);
        this.follower = Checks.notNull("follower", follower);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.rules = Checks.notNull("rules", rules);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.GET, "/v1/keys", r -> list())
                .with(HttpMethod.POST, "/v1/keys", this::grant)
                .with(HttpMethod.DELETE, "/v1/keys/:id", this::withdraw);
    }

    private Promise<HttpResponse> list() {
        List<KeyEntry> keys =
                follower.snapshot().keys().grants().stream()
                        .map(g -> new KeyEntry(g.id(), g.team()))
                        .toList();
        return Answers.json(new KeyListResponse(follower.snapshot().keys().version(), keys));
    }

    private Promise<HttpResponse> grant(HttpRequest request) {
        return request.loadBody()
                .map(b -> decodeGrant(b.getString(StandardCharsets.UTF_8)))
                .then(
                        g ->
                                Stages.toPromise(operations.grant(g))
                                        .map(
                                                outcome ->
                                                        toResponse(
                                                                request, "grant", g.id(), outcome)))
                .then(a -> Answers.json(a));
    }

    private KeyGrant decodeGrant(String body) {
        KeyGrant grant;
        try {
            grant = Json.decode(body, KeyGrant.class);
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_REQUEST, "The body is not a valid key grant.", e);
        }
        if (follower.snapshot().config().team(grant.team()).isEmpty()) {
            throw new ChervilliftException(
                    ErrorCode.NOT_FOUND, "There is no team " + grant.team() + ".");
        }
        return grant;
    }

    private Promise<HttpResponse> withdraw(HttpRequest request) {
        String id = request.getPathParameter("id");
        return Stages.toPromise(operations.withdraw(id))
                .map(outcome -> toResponse(request, "withdraw", id, outcome))
                .then(a -> Answers.json(a));
    }

    private KeyChangeResponse toResponse(
            HttpRequest request, String action, String id, KeyChangeOutcome outcome) {
        return switch (outcome) {
            case KeyChangeOutcome.Succeeded d -> {
                EventLog.log(
                        DaemonEvent.OPERATOR_REQUEST_EXECUTED,
                        Field.of("action", action),
                        Field.of("operator", OperatorAuthServlet.Operator.of(request).name()),
                        Field.of("key", id),
                        Field.of("ring", d.ringVersion()));
                follower.refresh();
                Instant everywhereBy =
                        scheduler
                                .now()
                                .plus(rules.maxWithdrawalDelay())
                                .truncatedTo(ChronoUnit.MILLIS);
                yield new KeyChangeResponse(
                        id, d.ringVersion(), d.changed(), everywhereBy.toString());
            }
            case KeyChangeOutcome.IdentifierTaken t ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT, "Another key has the identifier " + id + ".");
            case KeyChangeOutcome.NotReady n ->
                    throw new ChervilliftException(
                            ErrorCode.NOT_READY, notReadyMessage(n.members()));
            case KeyChangeOutcome.Unavailable u -> throw unavailable(u);
        };
    }

    private static String notReadyMessage(List<String> members) {
        return members.isEmpty()
                ? "It has not joined the fleet yet. Nothing was changed. Try another entry VM."
                : "These processes have not confirmed that they know it: "
                        + String.join(", ", members)
                        + ". Nothing was changed. Try another entry VM.";
    }

    private static ChervilliftException unavailable(KeyChangeOutcome.Unavailable u) {
        return u.mayHaveTakenEffect()
                ? new ChervilliftException(
                        ErrorCode.OUTCOME_UNKNOWN,
                        u.detail() + " Send the same command again; the change is made only once.")
                : new ChervilliftException(
                        ErrorCode.PLATFORM_UNAVAILABLE, u.detail() + " Nothing was changed.");
    }

    /**
     * The response to a grant or withdrawal that has taken effect.
     *
     * @param id the identifier of the key
     * @param ringVersion the version of the key ring, which the answering process uses
     * @param changed whether this request changed the key ring
     * @param everywhereBy the time, in UTC, by which the version is used everywhere; a process that
     *     has not learned of it by then accepts no requests with any key
     */
    private record KeyChangeResponse(
            String id, long ringVersion, boolean changed, String everywhereBy) {}

    private record KeyEntry(String id, String team) {}

    private record KeyListResponse(long ringVersion, List<KeyEntry> keys) {}
}
