package org.chervillift.daemon.internal.report;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.Pool;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.report.FleetReport;
import org.chervillift.api.report.UsageRow;
import org.chervillift.core.report.BurnRateReports;
import org.chervillift.daemon.internal.FleetFollower;
import org.chervillift.daemon.internal.FleetSnapshot;
import org.chervillift.daemon.internal.operator.OperatorRoutes;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;
import org.chervillift.runtime.supervision.Scheduler;

/** Serves the fleet report, built from the usage rows of all entry VMs. */
public final class ReportRoutes implements OperatorRoutes {

    private static final int HOURS_PER_DAY = 24;
    private static final int MAX_HOURS = 31 * HOURS_PER_DAY;

    private final Platform platform;
    private final Scheduler scheduler;
    private final FleetFollower follower;
    private final UsageReporter usage;

    /** Creates the routes. */
    public ReportRoutes(
            Platform platform, Scheduler scheduler, FleetFollower follower, UsageReporter usage) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.follower = Checks.notNull("follower", follower);
        this.usage = Checks.notNull("usage", usage);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.GET, "/v1/report", this::report);
    }

    private Promise<HttpResponse> report(HttpRequest request) {
        Instant now = scheduler.now();
        Duration period = Duration.ofHours(hours(request));
        return Stages.toPromise(
                        usageRows(hourlyTables(now.minus(period), now))
                                .thenCombine(
                                        platform.scan(WaveRow.TABLE),
                                        (rows, waves) -> buildReport(rows, waves, period, now)))
                .then(r -> Answers.json(r));
    }

    private static int hours(HttpRequest request) {
        String hours = request.getQueryParameter("hours");
        try {
            int number = hours == null ? HOURS_PER_DAY : Integer.parseInt(hours);
            return (int) Checks.inRange("hours", number, 1, MAX_HOURS);
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_REQUEST, "hours must be from 1 to " + MAX_HOURS + ".", e);
        }
    }

    private static Set<String> hourlyTables(Instant from, Instant to) {
        Set<String> tables = new TreeSet<>();
        for (Instant t = from; t.isBefore(to); t = t.plus(Duration.ofHours(1))) {
            tables.add(UsageRow.table(t));
        }
        tables.add(UsageRow.table(to));
        return tables;
    }

    private CompletionStage<List<UsageRow>> usageRows(Set<String> tables) {
        CompletionStage<Map<RowKey, UsageRow>> all =
                CompletableFuture.completedFuture(new HashMap<>());
        for (String table : tables) {
            all = all.thenCombine(platform.scan(table), ReportRoutes::addRows);
        }
        return all.thenApply(this::withUnsavedRows);
    }

    private static Map<RowKey, UsageRow> addRows(Map<RowKey, UsageRow> known, List<Row> rows) {
        rows.forEach(r -> known.put(r.key(), Json.decode(r.value(), UsageRow.class)));
        return known;
    }

    /** Replaces this process's saved rows by its unsaved ones, which are newer. */
    private List<UsageRow> withUnsavedRows(Map<RowKey, UsageRow> rows) {
        usage.unsavedRows().forEach(r -> rows.put(r.key(), r));
        return List.copyOf(rows.values());
    }

    private FleetReport buildReport(
            List<UsageRow> rows, List<Row> waves, Duration period, Instant now) {
        FleetSnapshot view = follower.snapshot();
        Map<String, Integer> states = new TreeMap<>();
        view.vms().forEach(v -> states.merge(v.state().name(), 1, Integer::sum));
        return new FleetReport(
                now.minus(period).toEpochMilli(),
                now.toEpochMilli(),
                view.config().version(),
                BurnRateReports.reportAll(view.config().objectives(), rows, period, now),
                states,
                countSpareVms(view),
                waves.stream().map(ReportRoutes::describeWave).toList());
    }

    private static int countSpareVms(FleetSnapshot view) {
        Set<String> spare =
                view.config().pools().stream()
                        .filter(Pool::spare)
                        .map(Pool::name)
                        .collect(Collectors.toSet());
        return (int) view.vms().stream().map(VmRow::pool).filter(spare::contains).count();
    }

    private static String describeWave(Row row) {
        WaveRow wave = Json.decode(row.value(), WaveRow.class);
        return "%s: %s. %s".formatted(wave.id(), wave.state(), wave.reason()).strip();
    }
}
