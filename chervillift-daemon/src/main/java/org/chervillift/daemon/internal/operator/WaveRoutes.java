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

/**
 * Serves operators' requests to control and list maintenance waves and to drain and restore single
 * VMs.
 */
public final class WaveRoutes implements OperatorRoutes {

    private static final int MAX_WAVE_DAYS = 366;

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
        routes.with(HttpMethod.GET, "/v1/waves", r -> list())
                .with(HttpMethod.POST, "/v1/waves", this::start)
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/pause",
                        r -> execute(r, (v, now) -> WaveCommands.pause(v, pathId(r))))
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/resume",
                        r -> execute(r, (v, now) -> WaveCommands.resume(v, pathId(r))))
                .with(
                        HttpMethod.POST,
                        "/v1/waves/:id/abandon",
                        r -> execute(r, (v, now) -> WaveCommands.abandon(v, pathId(r))))
                .with(HttpMethod.POST, "/v1/waves/:id/skip", this::skip)
                .with(
                        HttpMethod.POST,
                        "/v1/vms/:id/drain",
                        r ->
                                execute(
                                        r,
                                        (v, now) ->
                                                WaveCommands.drain(v, pathId(r), settings, now)))
                .with(
                        HttpMethod.POST,
                        "/v1/vms/:id/restore",
                        r -> execute(r, (v, now) -> WaveCommands.restore(v, pathId(r), now)));
    }

    private static String pathId(HttpRequest request) {
        return request.getPathParameter("id");
    }

    private Promise<HttpResponse> start(HttpRequest request) {
        return request.loadBody()
                .map(b -> Json.decode(b.getString(StandardCharsets.UTF_8), StartRequest.class))
                .then(r -> execute(request, (v, now) -> WaveCommands.start(v, r.toWave(now))));
    }

    private Promise<HttpResponse> skip(HttpRequest request) {
        return request.loadBody()
                .map(b -> Json.decode(b.getString(StandardCharsets.UTF_8), SkipRequest.class))
                .then(
                        r ->
                                execute(
                                        request,
                                        (v, now) ->
                                                WaveCommands.skip(v, pathId(request), r.vms())));
    }

    private Promise<HttpResponse> execute(HttpRequest request, Command command) {
        String path = request.getPath();
        return Stages.toPromise(commands.execute(command))
                .whenResult(
                        outcome ->
                                EventLog.log(
                                        WaveEvent.COMMAND_EXECUTED,
                                        Field.of("path", path),
                                        Field.of("outcome", outcome)))
                .then(outcome -> Answers.json(new CommandResponse(outcome, sentence(outcome))));
    }

    private static String sentence(Outcome outcome) {
        return switch (outcome) {
            case DONE -> "The command took effect.";
            case ALREADY_IN_FORCE -> "The command was already in effect. Nothing was changed.";
        };
    }

    private Promise<HttpResponse> list() {
        return Stages.toPromise(commands.readFleet())
                .then(view -> Answers.json(new WavesResponse(progress(view))));
    }

    private List<WaveProgress> progress(FleetView view) {
        Instant now = scheduler.now();
        return view.waves().values().stream()
                .map(w -> WaveProgress.of(view, w.row(), settings, now))
                .toList();
    }

    /** The body of a request to start a wave that may last the given number of days. */
    private record StartRequest(String id, List<String> pools, boolean urgent, int days) {
        StartRequest {
            Checks.notBlank("id", id);
            pools = List.copyOf(pools);
            Checks.inRange("days", days, 1, MAX_WAVE_DAYS);
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

    /** The body of a request to exclude VMs from a wave. */
    private record SkipRequest(List<String> vms) {
        SkipRequest {
            vms = List.copyOf(vms);
        }
    }

    /** The response to a command. */
    private record CommandResponse(Outcome outcome, String sentence) {}

    /** The response that lists all waves. */
    private record WavesResponse(List<WaveProgress> waves) {}
}
