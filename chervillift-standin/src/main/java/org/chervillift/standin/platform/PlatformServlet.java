package org.chervillift.standin.platform;

import static org.chervillift.http.HttpStatus.CONFLICT;
import static org.chervillift.http.HttpStatus.NOT_FOUND;
import static org.chervillift.http.HttpStatus.UNAVAILABLE;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Transaction;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.platform.protocol.CommitResponse;
import org.chervillift.platform.protocol.ObjectBody;
import org.chervillift.platform.protocol.ReadRowsRequest;
import org.chervillift.platform.protocol.RowsResponse;
import org.chervillift.platform.protocol.VmsResponse;
import org.chervillift.runtime.supervision.Scheduler;

/** The platform's interface over HTTP, and the switches of its faults. */
public final class PlatformServlet {

    private static final int NOT_MODIFIED = 304;

    private final PlatformState state;
    private final LaggingList list;
    private final NioReactor reactor;
    private final Scheduler scheduler;
    private PlatformFaults faults = PlatformFaults.NONE;
    private long reads;
    private long writes;
    private long lists;

    /** Creates the interface on an event loop. */
    public PlatformServlet(NioReactor reactor, Scheduler scheduler) {
        this(reactor, scheduler, new PlatformState(), new LaggingList());
    }

    private PlatformServlet(
            NioReactor reactor, Scheduler scheduler, PlatformState state, LaggingList list) {
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.state = state;
        this.list = list;
    }

    /**
     * Returns another way to the same platform, with faults of its own.
     *
     * <p>Processes that reach the platform by it can be cut off while others are not.
     */
    public PlatformServlet otherWay() {
        return new PlatformServlet(reactor, scheduler, state, list);
    }

    /** Returns the servlet with all routes. */
    public AsyncServlet routes() {
        RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
        new MaintenanceServlet(reactor, scheduler, list).addTo(routes, this::underWriteFaults);
        return routes.with(HttpMethod.POST, "/v1/rows", r -> reading(r, this::read))
                .with(HttpMethod.GET, "/v1/tables/:table", r -> reading(r, this::scan))
                .with(HttpMethod.POST, "/v1/transactions", r -> writing(r, this::commit))
                .with(HttpMethod.GET, "/v1/objects/*", r -> reading(r, this::getObject))
                .with(HttpMethod.PUT, "/v1/objects/*", r -> writing(r, this::putObject))
                .with(HttpMethod.GET, "/v1/vms", r -> listing(r))
                .with(HttpMethod.PUT, "/admin/vms", r -> withBody(r, this::putVm))
                .with(HttpMethod.DELETE, "/admin/vms/:id", this::deleteVm)
                .with(HttpMethod.PUT, "/admin/faults", r -> withBody(r, this::setFaults))
                .with(HttpMethod.GET, "/admin/faults", r -> Answers.json(faults))
                .with(
                        HttpMethod.GET,
                        "/admin/stats",
                        r -> Answers.json(new PlatformStats(reads, writes, lists)))
                .build();
    }

    private Promise<HttpResponse> reading(
            HttpRequest request, Function<HttpRequest, Promise<HttpResponse>> answer) {
        reads++;
        return underFaults(() -> request.loadBody().then(b -> answer.apply(request)));
    }

    private Promise<HttpResponse> writing(
            HttpRequest request, Function<HttpRequest, Promise<HttpResponse>> answer) {
        writes++;
        return underWriteFaults(() -> request.loadBody().then(b -> answer.apply(request)));
    }

    private Promise<HttpResponse> underWriteFaults(Supplier<Promise<HttpResponse>> answer) {
        return underFaults(answer)
                .then(r -> faults.loseReplies() ? new SettablePromise<>() : Promise.of(r));
    }

    private Promise<HttpResponse> listing(HttpRequest request) {
        lists++;
        Duration lag = Duration.ofMillis(faults.listLagMillis());
        return underFaults(() -> listed(request, list.show(scheduler.now(), lag)));
    }

    /** The hash of the list is its entity tag; equal lists have equal tags. */
    private static Promise<HttpResponse> listed(HttpRequest request, List<ListedVm> vms) {
        String tag = '"' + Integer.toHexString(vms.hashCode()) + "-" + vms.size() + '"';
        if (tag.equals(request.getHeader(HttpHeaders.IF_NONE_MATCH))) {
            return HttpResponse.ofCode(NOT_MODIFIED).toPromise();
        }
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.ETAG, tag)
                .withJson(Json.encode(new VmsResponse(vms)))
                .toPromise();
    }

    private Promise<HttpResponse> underFaults(Supplier<Promise<HttpResponse>> answer) {
        if (faults.down()) {
            return Answers.text(UNAVAILABLE, "down");
        }
        Promise<HttpResponse> promise = answer.get();
        if (faults.slowMillis() == 0) {
            return promise;
        }
        return promise.then(r -> Promises.delay(Duration.ofMillis(faults.slowMillis()), r));
    }

    private static String body(HttpRequest request) {
        return request.getBody().getString(StandardCharsets.UTF_8);
    }

    private Promise<HttpResponse> withBody(
            HttpRequest request, Function<HttpRequest, Promise<HttpResponse>> answer) {
        return request.loadBody().then(b -> answer.apply(request));
    }

    private Promise<HttpResponse> read(HttpRequest request) {
        ReadRowsRequest read = Json.decode(body(request), ReadRowsRequest.class);
        return Answers.json(new RowsResponse(state.read(read.keys())));
    }

    private Promise<HttpResponse> scan(HttpRequest request) {
        return Answers.json(new RowsResponse(state.scan(request.getPathParameter("table"))));
    }

    private Promise<HttpResponse> commit(HttpRequest request) {
        CommitResult result = state.commit(Json.decode(body(request), Transaction.class));
        int status = result instanceof CommitResult.Conflict ? CONFLICT : 200;
        return Answers.json(status, CommitResponse.of(result));
    }

    private Promise<HttpResponse> getObject(HttpRequest request) {
        Optional<String> content = state.getObject(request.getRelativePath());
        return content.map(c -> Answers.json(new ObjectBody(c)))
                .orElseGet(() -> Answers.text(NOT_FOUND, "no such object"));
    }

    private Promise<HttpResponse> putObject(HttpRequest request) {
        state.putObject(
                request.getRelativePath(), Json.decode(body(request), ObjectBody.class).content());
        return Answers.text(200, "kept");
    }

    private Promise<HttpResponse> putVm(HttpRequest request) {
        list.put(Json.decode(body(request), ListedVm.class), scheduler.now());
        return Answers.text(200, "listed");
    }

    private Promise<HttpResponse> deleteVm(HttpRequest request) {
        list.remove(request.getPathParameter("id"), scheduler.now());
        return Answers.text(200, "removed");
    }

    private Promise<HttpResponse> setFaults(HttpRequest request) {
        faults = Json.decode(body(request), PlatformFaults.class);
        return Answers.json(faults);
    }
}
