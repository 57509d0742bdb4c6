package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.Transaction;
import org.chervillift.daemon.internal.Digests;
import org.chervillift.daemon.internal.FleetFollower;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;

/** Grants and withdraws keys. */
public final class KeyRoutes implements OperatorRoutes {

    private static final int KEY_BYTES = 24;
    private static final int ID_BYTES = 4;

    private final Platform platform;
    private final FleetFollower follower;
    private final SecureRandom random = new SecureRandom();

    /** Creates the routes. */
    public KeyRoutes(Platform platform, FleetFollower follower) {
        this.platform = Checks.notNull("platform", platform);
        this.follower = Checks.notNull("follower", follower);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.POST, "/v1/keys", this::grant)
                .with(HttpMethod.DELETE, "/v1/keys/:id", this::withdraw);
    }

    private Promise<HttpResponse> grant(HttpRequest request) {
        return request.loadBody()
                .map(b -> Json.decode(b.getString(StandardCharsets.UTF_8), GrantRequest.class))
                .then(r -> Stages.toPromise(grantKey(r.team())))
                .then(a -> Answers.json(a));
    }

    private CompletionStage<Granted> grantKey(String team) {
        if (follower.view().config().team(team).isEmpty()) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "There is no team " + team + ".");
        }
        String key = randomHex(KEY_BYTES);
        KeyGrant grant = new KeyGrant(randomHex(ID_BYTES), team, Digests.sha256(key));
        return change(
                        "grant-" + grant.id(),
                        ring -> {
                            List<KeyGrant> grants = new ArrayList<>(ring.grants());
                            grants.add(grant);
                            return new KeyRing(ring.version() + 1, grants);
                        })
                .thenApply(version -> new Granted(grant.id(), key, version));
    }

    private Promise<HttpResponse> withdraw(HttpRequest request) {
        String id = request.getPathParameter("id");
        return Stages.toPromise(
                        change("withdraw-" + id, ring -> without(ring, id))
                                .thenApply(version -> new Withdrawn(id, version)))
                .then(a -> Answers.json(a));
    }

    private static KeyRing without(KeyRing ring, String id) {
        List<KeyGrant> kept = ring.grants().stream().filter(g -> !g.id().equals(id)).toList();
        if (kept.size() == ring.grants().size()) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "There is no key " + id + ".");
        }
        return new KeyRing(ring.version() + 1, kept);
    }

    private CompletionStage<Long> change(String token, Function<KeyRing, KeyRing> step) {
        return platform.read(List.of(FleetFollower.KEYS))
                .thenCompose(
                        rows -> {
                            Optional<Row> row = rows.stream().findFirst();
                            KeyRing ring =
                                    row.map(r -> Json.decode(r.value(), KeyRing.class))
                                            .orElse(KeyRing.EMPTY);
                            KeyRing next = step.apply(ring);
                            return platform.commit(transaction(token, row, next))
                                    .thenApply(result -> version(result, next));
                        });
    }

    private static Transaction transaction(String token, Optional<Row> row, KeyRing next) {
        return new Transaction(
                token,
                List.of(
                        new Transaction.Condition(
                                FleetFollower.KEYS, row.map(Row::version).orElse(0L))),
                List.of(Transaction.Write.put(FleetFollower.KEYS, Json.encode(next))));
    }

    private static long version(CommitResult result, KeyRing next) {
        return switch (result) {
            case CommitResult.Committed c -> next.version();
            case CommitResult.Conflict c ->
                    throw new ChervilliftException(ErrorCode.CONFLICT, "Try again.");
        };
    }

    private String randomHex(int bytes) {
        byte[] content = new byte[bytes];
        random.nextBytes(content);
        return HexFormat.of().formatHex(content);
    }

    /** Asks for a key for a team. */
    private record GrantRequest(String team) {}

    /** Gives a new key, once. */
    private record Granted(String id, String key, long version) {}

    /** Tells that a key is withdrawn. */
    private record Withdrawn(String id, long version) {}
}
