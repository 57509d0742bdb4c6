package org.chervillift.bench.archive;

import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.chervillift.api.ChervilliftException;
import org.chervillift.daemon.tasks.FleetSettings;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.HttpStatus;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.platform.fleet.SampleJobs;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.tasks.FleetServer;

/** Work of all kinds for one daemon, with the platform's stand-in in the same process. */
final class TrainingDay {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long PATIENCE_MILLIS = 15_000;
    private static final long STEP_MILLIS = 50;
    private static final String FINISHED = "completed";

    private final ReactorThread thread;
    private final FleetSettings settings;

    TrainingDay(ReactorThread thread, FleetSettings settings) {
        this.thread = thread;
        this.settings = settings;
    }

    /** Does the work; returns whether all of it went as it should. */
    boolean play() {
        boolean whole =
                waitFor(() -> status(HttpMethod.POST, "a1", SampleJobs.TWO_STEPS) == HttpStatus.OK);
        whole &= waitFor(() -> state("a1").contains(FINISHED));
        whole &= status(HttpMethod.POST, "a2", SampleJobs.GANG) == HttpStatus.OK;
        whole &= status(HttpMethod.POST, "a3", SampleJobs.LONG_RUNNING) == HttpStatus.OK;
        whole &= waitFor(() -> state("a2").contains(FINISHED));
        refuseWhatIsWrong();
        orderWave();
        whole &= waitFor(() -> admin(HttpMethod.GET, "/admin/waves/1", "").contains(FINISHED));
        whole &= status(HttpMethod.DELETE, "a3", "") == HttpStatus.OK;
        meetStoreFaults();
        whole &=
                waitFor(() -> status(HttpMethod.POST, "a4", SampleJobs.TWO_STEPS) == HttpStatus.OK);
        return whole & waitFor(() -> state("a4").contains(FINISHED));
    }

    private void refuseWhatIsWrong() {
        status(HttpMethod.POST, "a5", "{");
        status(HttpMethod.GET, "ff", "");
        ask(settings.callers(), HttpMethod.GET, "/elsewhere/", "", Map.of());
        ask(settings.callers(), HttpMethod.GET, FleetServer.PATH_PREFIX, "", key());
        ask(settings.metrics(), HttpMethod.GET, "/metrics", "", Map.of());
    }

    private void orderWave() {
        admin(
                HttpMethod.PUT,
                "/admin/waves",
                "{\"number\":1,\"vms\":[\"vm-1\",\"vm-2\"],\"durationMillis\":9000,\"cap\":1}");
    }

    private void meetStoreFaults() {
        for (String fault : List.of("FORGETFUL", "LOSE_REPLIES", "DOWN", "NONE")) {
            admin(HttpMethod.PUT, "/admin/faults", "{\"store\":\"" + fault + "\"}");
            status(HttpMethod.POST, "b" + fault.length(), SampleJobs.TWO_STEPS);
        }
    }

    private int status(HttpMethod method, String job, String body) {
        return ask(settings.callers(), method, path(job), body, key())
                .map(HttpAnswer::status)
                .orElse(0);
    }

    private String state(String job) {
        return ask(settings.callers(), HttpMethod.GET, path(job), "", key())
                .map(HttpAnswer::body)
                .orElse("");
    }

    /** Identifiers of jobs have 16 digits. */
    private static String path(String job) {
        return FleetServer.PATH_PREFIX + "0".repeat(16 - job.length()) + job;
    }

    private static Map<String, String> key() {
        return Map.of("Authorization", "Bearer " + FleetServer.KEY);
    }

    private String admin(HttpMethod method, String path, String body) {
        return ask(settings.store(), method, path, body, Map.of()).map(HttpAnswer::body).orElse("");
    }

    private Optional<HttpAnswer> ask(
            HostPort server,
            HttpMethod method,
            String path,
            String body,
            Map<String, String> headers) {
        JsonClient client = new JsonClient(thread.reactor(), server, TIMEOUT, Optional.empty());
        try {
            return Optional.of(
                    thread.await(
                            () ->
                                    client.send(
                                            method,
                                            path,
                                            body.getBytes(StandardCharsets.UTF_8),
                                            headers)));
        } catch (ChervilliftException e) {
            System.err.println(method + " " + path + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private static boolean waitFor(BooleanSupplier condition) {
        for (long waited = 0; waited < PATIENCE_MILLIS; waited += STEP_MILLIS) {
            if (condition.getAsBoolean()) {
                return true;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        System.err.println("A step of the training took too long.");
        return false;
    }
}
