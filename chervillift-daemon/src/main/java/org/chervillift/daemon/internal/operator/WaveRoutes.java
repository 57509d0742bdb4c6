package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.waves.WaveCommands;
import org.chervillift.core.waves.WaveProgress;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.daemon.waves.MaintenanceCommands;
import org.chervillift.daemon.waves.MaintenanceCommands.Command;
import org.chervillift.daemon.waves.MaintenanceCommands.Outcome;
import org.chervillift.daemon.waves.WaveEvent;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Starts, steers and shows maintenance waves, and drains single VMs. */
public final class WaveRoutes implements OperatorRoutes {

    private static final int MOST_DAYS = 366;

    private final MaintenanceCommands commands;
    private final WaveSettings settings;
    private final Scheduler scheduler;

    /** Creates the routes. */
    public WaveRoutes(MaintenanceCommands commands, WaveSettings settings, Scheduler scheduler) {
        this.commands = Checks.notNull("commands", commands);
        this.settings = Checks.notNull("settings", settings);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.GET, "/v1/waves", r -> show())
                .with(HttpMethod.POST, "/v1/waves", this::start)
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/pause",
                        r -> act(r, (v, now) -> WaveCommands.pause(v, id(r))))
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/resume",
                        r -> act(r, (v, now) -> WaveCommands.resume(v, id(r))))
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/abandon",
                        r -> act(r, (v, now) -> WaveCommands.abandon(v, id(r))))
                .with(HttpMethod.POST, "/v1/waves/:id/skip", this::skip)
                .with(
                        HttpMethod.POST,
                        "/v1/vms/:id/drain",
                        r -> act(r, (v, now) -> WaveCommands.drain(v, id(r), settings, now)))
                .with(
                        HttpMethod.POST,
                        "/v1/vms/:id/restore",
                        r -> act(r, (v, now) -> WaveCommands.restore(v, id(r), now)));
    }

    private static String id(HttpRequest request) {
        return request.getPathParameter("id");
    }

    private Promise<HttpResponse> start(HttpRequest request) {
        return request.loadBody()
                .map(b -> Json.decode(b.getString(StandardCharsets.UTF_8), StartRequest.class))
                .then(r -> act(request, (v, now) -> WaveCommands.start(v, r.toWave(now))));
    }

    private Promise<HttpResponse> skip(HttpRequest request) {
        return request.loadBody()
                .map(b -> Json.decode(b.getString(StandardCharsets.UTF_8), SkipRequest.class))
                .then(r -> act(request, (v, now) -> WaveCommands.skip(v, id(request), r.vms())));
    }

    private Promise<HttpResponse> act(HttpRequest request, Command command) {
        String path = request.getPath();
        return Stages.toPromise(commands.carryOut(command))
                .whenResult(
                        outcome ->
                                EventLog.log(
                                        WaveEvent.COMMANDED,
                                        Field.of("path", path),
                                        Field.of("outcome", outcome)))
                .then(outcome -> Answers.json(new Commanded(outcome, sentence(outcome))));
    }

    private static String sentence(Outcome outcome) {
        return switch (outcome) {
            case DONE -> "The command is in force.";
            case ALREADY_IN_FORCE -> "What you asked for was in force already.";
        };
    }

    private Promise<HttpResponse> show() {
        return Stages.toPromise(commands.look())
                .then(view -> Answers.json(new Waves(progress(view))));
    }

    private List<WaveProgress> progress(FleetView view) {
        Instant now = scheduler.now();
        return view.waves().values().stream()
                .map(w -> WaveProgress.of(view, w.row(), settings, now))
                .toList();
    }

    /** Asks for a wave. */
    private record StartRequest(String id, List<String> pools, boolean urgent, int days) {
        StartRequest {
            Checks.notBlank("id", id);
            pools = List.copyOf(pools);
            Checks.inRange("days", days, 1, MOST_DAYS);
        }

        WaveRow toWave(Instant now) {
            long start = now.toEpochMilli();
            return new WaveRow(
                    id,
                    WaveState.RUNNING,
                    "",
                    start,
                    start + Duration.ofDays(days).toMillis(),
                    urgent,
                    pools,
                    List.of(),
                    List.of(),
                    0);
        }
    }

    /** Excepts VMs from a wave. */
    private record SkipRequest(List<String> vms) {
        SkipRequest {
            vms = List.copyOf(vms);
        }
    }

    /** Tells how a command ended. */
    private record Commanded(Outcome outcome, String sentence) {}

    /** Shows all waves. */
    private record Waves(List<WaveProgress> waves) {}
}
