package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.daemon.internal.ConfigHead;
import org.chervillift.daemon.internal.Digests;
import org.chervillift.daemon.internal.FleetFollower;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.sheet.SheetError;
import org.chervillift.sheet.SheetReader;
import org.chervillift.sheet.SheetResult;

/** Brings a sheet into force, and shows the configuration. */
public final class ConfigRoutes implements OperatorRoutes {

    private static final int MOST_SHEET_BYTES = SheetReader.MOST_BYTES;

    private final Platform platform;
    private final Scheduler scheduler;
    private final FleetFollower follower;

    /** Creates the routes. */
    public ConfigRoutes(Platform platform, Scheduler scheduler, FleetFollower follower) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.follower = Checks.notNull("follower", follower);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.POST, "/v1/apply", this::apply)
                .with(HttpMethod.GET, "/v1/config", r -> Answers.json(follower.view().config()));
    }

    private Promise<HttpResponse> apply(HttpRequest request) {
        return request.loadBody(MOST_SHEET_BYTES)
                .then(body -> Stages.toPromise(applySheet(body.getArray())))
                .then(a -> Answers.json(a));
    }

    private CompletionStage<Applied> applySheet(byte[] sheet) {
        FleetConfig wanted =
                switch (SheetReader.read(sheet)) {
                    case SheetResult.Read r -> r.config();
                    case SheetResult.Refused r -> throw refused(r);
                };
        return platform.read(rowsTouched(wanted)).thenCompose(rows -> commit(wanted, rows));
    }

    private static ChervilliftException refused(SheetResult.Refused refused) {
        String lines =
                refused.errors().stream().map(SheetError::line).collect(Collectors.joining("\n"));
        return new ChervilliftException(ErrorCode.BAD_SHEET, lines);
    }

    private static List<RowKey> rowsTouched(FleetConfig config) {
        List<RowKey> keys = new ArrayList<>();
        keys.add(ConfigHead.KEY);
        config.vms().forEach(v -> keys.add(VmRow.key(v.id())));
        config.pools().forEach(p -> keys.add(PoolRow.key(p.name())));
        return keys;
    }

    private CompletionStage<Applied> commit(FleetConfig wanted, List<Row> rows) {
        Optional<Row> headRow =
                rows.stream().filter(r -> r.key().equals(ConfigHead.KEY)).findFirst();
        long version =
                1 + headRow.map(r -> Json.decode(r.value(), ConfigHead.class).version()).orElse(0L);
        String digest = Digests.sha256(Json.encode(wanted.withVersion(0)));
        ConfigHead head =
                new ConfigHead(
                        version,
                        "config/" + version + "-" + digest,
                        digest,
                        "operator",
                        scheduler.now().toEpochMilli());
        Transaction transaction = transaction(head, headRow, wanted, rows);
        return platform.putObject(head.object(), Json.encode(wanted.withVersion(version)))
                .thenCompose(ignored -> platform.commit(transaction))
                .thenApply(result -> applied(result, version));
    }

    private Transaction transaction(
            ConfigHead head, Optional<Row> headRow, FleetConfig wanted, List<Row> rows) {
        List<RowKey> known = rows.stream().map(Row::key).toList();
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        long headVersion = headRow.map(Row::version).orElse(0L);
        conditions.add(new Transaction.Condition(ConfigHead.KEY, headVersion));
        writes.add(Transaction.Write.put(ConfigHead.KEY, Json.encode(head)));
        wanted.vms().stream()
                .filter(v -> !known.contains(VmRow.key(v.id())))
                .map(v -> VmRow.first(v, scheduler.now()))
                .forEach(v -> create(VmRow.key(v.id()), v, conditions, writes));
        wanted.pools().stream()
                .filter(p -> !known.contains(PoolRow.key(p.name())))
                .forEach(p -> create(PoolRow.key(p.name()), PoolRow.first(p), conditions, writes));
        return new Transaction("apply-" + head.version() + "-" + head.digest(), conditions, writes);
    }

    private static void create(
            RowKey key,
            Object value,
            List<Transaction.Condition> conditions,
            List<Transaction.Write> writes) {
        conditions.add(new Transaction.Condition(key, 0));
        writes.add(Transaction.Write.put(key, Json.encode(value)));
    }

    private static Applied applied(CommitResult result, long version) {
        return switch (result) {
            case CommitResult.Committed c ->
                    new Applied(version, "Version " + version + " is accepted.");
            case CommitResult.Conflict c ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT, "The row is " + c.key() + ".");
        };
    }

    /** Tells an operator which version was accepted. */
    private record Applied(long version, String sentence) {}
}
