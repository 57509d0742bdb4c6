package org.chervillift.standin.upstream;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import org.chervillift.api.Checks;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;

/** An upstream over HTTP that runs so many requests at once, and the switches of its faults. */
public final class UpstreamServlet {

    /** Names the team that a request runs for. */
    public static final HttpHeader TEAM = HttpHeaders.of("Chervillift-Team");

    /** Says in a 503 answer that the request has not run. */
    public static final HttpHeader NOT_RUN = HttpHeaders.of("Chervillift-Not-Run");

    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    private static final HttpHeader WORK_MILLIS = HttpHeaders.of("Work-Millis");
    private static final int BUSY = 503;
    private static final int FAILED = 500;

    private final Reactor reactor;
    private final String id;
    private final int slots;
    private final UpstreamMaintenance maintenance;
    private final RunLedger ledger;
    private UpstreamFaults faults = UpstreamFaults.NONE;
    private long runs;
    private int running;
    private int mostRunning;
    private long busyAnswers;

    /** Creates an upstream with a name, a number of slots and a ledger of its own. */
    public UpstreamServlet(Reactor reactor, String id, int slots) {
        this(reactor, id, slots, new RunLedger());
    }

    /** Creates an upstream that notes its runs in a ledger. */
    public UpstreamServlet(Reactor reactor, String id, int slots, RunLedger ledger) {
        this.ledger = Checks.notNull("ledger", ledger);
        this.reactor = reactor;
        this.id = Checks.notBlank("id", id);
        this.slots = (int) Checks.inRange("slots", slots, 1, 10_000);
        this.maintenance =
                new UpstreamMaintenance(
                        id,
                        () -> running,
                        () -> Instant.ofEpochMilli(reactor.currentTimeMillis()),
                        ledger);
    }

    /** Returns the servlet with all routes. */
    public AsyncServlet routes() {
        RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
        maintenance.addTo(routes);
        return routes.with(HttpMethod.GET, "/admin/stats", r -> Answers.json(stats()))
                .with(HttpMethod.GET, "/admin/ledger", r -> Answers.json(ledger.counts()))
                .with(HttpMethod.PUT, "/admin/faults", this::setFaults)
                .with("/*", this::work)
                .build();
    }

    /** Returns what has run. */
    public UpstreamStats stats() {
        RunLedger.LedgerCounts counts = ledger.counts();
        return new UpstreamStats(
                runs,
                running,
                mostRunning,
                busyAnswers,
                counts.runningByTeam(),
                counts.mostRunningByTeam(),
                counts.repeatedIdentifiers(),
                maintenance.cut());
    }

    private Promise<HttpResponse> setFaults(HttpRequest request) {
        return request.loadBody()
                .then(
                        b -> {
                            String text = b.getString(StandardCharsets.UTF_8);
                            faults = Json.decode(text, UpstreamFaults.class);
                            return Answers.json(faults);
                        });
    }

    private Promise<HttpResponse> work(HttpRequest request) {
        if (faults.failAll()) {
            return Answers.text(FAILED, "failed");
        }
        if (running >= slots || !maintenance.takesWork()) {
            busyAnswers++;
            return HttpResponse.ofCode(BUSY).withHeader(NOT_RUN, "true").toPromise();
        }
        return request.loadBody()
                .then(body -> run(request, body.getString(StandardCharsets.UTF_8)));
    }

    private Promise<HttpResponse> run(HttpRequest request, String body) {
        String team = orElse(request.getHeader(TEAM), "-");
        begin(team);
        noteIdentifier(request);
        String sent = orElse(request.getHeader(WORK_MILLIS), "0");
        return Promises.delay(Duration.ofMillis(Long.parseLong(sent)))
                .whenResult(() -> end(team))
                .then(() -> answer("%s ran %s for %s".formatted(id, body, team)));
    }

    private void begin(String team) {
        runs++;
        running++;
        mostRunning = Math.max(mostRunning, running);
        ledger.begin(team, Instant.now());
    }

    private void end(String team) {
        running--;
        ledger.end(team);
    }

    private void noteIdentifier(HttpRequest request) {
        String identifier = request.getHeader(IDEMPOTENCY_KEY);
        boolean mayNotRepeat = request.getMethod() == HttpMethod.POST;
        if (identifier != null && mayNotRepeat) {
            ledger.noteIdentifier(identifier);
        }
    }

    private Promise<HttpResponse> answer(String text) {
        if (faults.silent()) {
            return new SettablePromise<>();
        }
        if (faults.cutAnswers()) {
            return cutAnswer(text.getBytes(StandardCharsets.UTF_8));
        }
        Promise<HttpResponse> whole = Answers.text(200, text);
        if (faults.lateMillis() == 0) {
            return whole;
        }
        return whole.then(r -> Promises.delay(Duration.ofMillis(faults.lateMillis()), r));
    }

    private static Promise<HttpResponse> cutAnswer(byte[] body) {
        ByteBuf half = ByteBuf.wrap(body, 0, body.length / 2);
        return HttpResponse.ofCode(200)
                .withHeader(HttpHeaders.CONTENT_LENGTH, String.valueOf(body.length))
                .withBodyStream(
                        ChannelSuppliers.concat(
                                ChannelSuppliers.ofValue(half),
                                ChannelSuppliers.ofException(new IOException("cut"))))
                .toPromise();
    }

    private static String orElse(String value, String other) {
        return value == null ? other : value;
    }
}
