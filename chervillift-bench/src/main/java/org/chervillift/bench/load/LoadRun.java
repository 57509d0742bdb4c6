package org.chervillift.bench.load;

import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chervillift.api.Checks;
import org.chervillift.http.IpNumberResolver;
import org.chervillift.http.ReactorThread;
import org.chervillift.runtime.settings.HostPort;

/** Sends the requests of a load, each again through another entry VM until it is completed. */
final class LoadRun {

    private static final HttpHeader VERDICT = HttpHeaders.of("Chervillift-Verdict");
    private static final HttpHeader CODE = HttpHeaders.of("Chervillift-Code");
    private static final HttpHeader IDENTIFIER = HttpHeaders.of("Idempotency-Key");
    private static final HttpHeader WORK_MILLIS = HttpHeaders.of("Work-Millis");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);
    private static final int MOST_ATTEMPTS = 8;
    private static final int LEAST_PAUSE_MILLIS = 50;
    private static final int MOST_PAUSE_MILLIS = 400;

    private final LoadPlan plan;
    private final Random random;
    private final HttpClient client;
    private final List<RequestHistory> histories = new ArrayList<>();

    LoadRun(ReactorThread thread, LoadPlan plan) {
        this.plan = Checks.notNull("plan", plan);
        this.random = new Random(plan.seed());
        this.client =
                HttpClient.builder(thread.reactor(), new IpNumberResolver())
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withReadWriteTimeout(ANSWER_TIMEOUT)
                        .withNoKeepAlive()
                        .build();
    }

    /** Runs all callers until the time is over and each has its last answer. */
    Promise<Void> run() {
        Instant end = Instant.now().plus(plan.length());
        Promise<Void> all = Promise.complete();
        for (int i = 0; i < plan.callers(); i++) {
            all = all.both(caller(end));
        }
        return all;
    }

    List<RequestHistory> histories() {
        return List.copyOf(histories);
    }

    private Promise<Void> caller(Instant end) {
        if (!Instant.now().isBefore(end)) {
            return Promise.complete();
        }
        RequestHistory history = new RequestHistory("load-" + plan.seed() + "-" + histories.size());
        histories.add(history);
        return attempt(history).then(ignored -> caller(end));
    }

    private Promise<Void> attempt(RequestHistory history) {
        HostPort entry = plan.entries().get(random.nextInt(plan.entries().size()));
        return client.request(request(history, entry))
                .then(LoadRun::read)
                .then((a, fault) -> Promise.of(fault == null ? a : unknown(fault)))
                .whenResult(history::add)
                .then(ignored -> again(history));
    }

    private Promise<Void> again(RequestHistory history) {
        if (history.isCompleted() || history.size() == MOST_ATTEMPTS) {
            return Promise.complete();
        }
        int pause = random.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS);
        return Promises.delay(Duration.ofMillis(pause)).then(ignored -> attempt(history));
    }

    private HttpRequest request(RequestHistory history, HostPort entry) {
        return HttpRequest.post("http://" + entry + "/queues/" + plan.queue() + "/load")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + plan.key())
                .withHeader(IDENTIFIER, history.identifier())
                .withHeader(WORK_MILLIS, String.valueOf(plan.workMillis()))
                .withBody(history.identifier().getBytes(StandardCharsets.UTF_8))
                .build();
    }

    private static Promise<Attempt> read(HttpResponse response) {
        String verdict = String.valueOf(response.getHeader(VERDICT));
        String code = String.valueOf(response.getHeader(CODE));
        return response.loadBody()
                .map(
                        body ->
                                switch (verdict) {
                                    case "completed" ->
                                            new Attempt.Completed(
                                                    body.getString(StandardCharsets.UTF_8));
                                    case "not-run" -> new Attempt.NotRun(code);
                                    default -> new Attempt.Unknown(verdict + " " + code);
                                });
    }

    private static Attempt unknown(Exception fault) {
        return new Attempt.Unknown(String.valueOf(fault));
    }
}
