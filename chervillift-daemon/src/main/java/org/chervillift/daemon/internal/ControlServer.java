package org.chervillift.daemon.internal;

import static org.chervillift.http.HttpStatus.OK;
import static org.chervillift.http.HttpStatus.UNAVAILABLE;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.http.Answers;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Part;

/** The HTTP server for health checks, metrics and operators' requests. */
public final class ControlServer implements Part {

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final NioReactor reactor;
    private final HostPort address;
    private final BooleanSupplier ready;
    private final PrometheusRegistry registry;
    private final AsyncServlet operatorRoutes;
    private final PrometheusTextFormatWriter metricsWriter =
            PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
    private HttpServer server;

    /**
     * Creates a server.
     *
     * @param ready whether the load balancer may send requests to this process
     * @param operatorRoutes serves all paths under {@code /operator/}
     */
    public ControlServer(
            NioReactor reactor,
            HostPort address,
            BooleanSupplier ready,
            PrometheusRegistry registry,
            AsyncServlet operatorRoutes) {
        this.reactor = Checks.notNull("reactor", reactor);
        this.address = Checks.notNull("address", address);
        this.ready = Checks.notNull("ready", ready);
        this.registry = Checks.notNull("registry", registry);
        this.operatorRoutes = Checks.notNull("operatorRoutes", operatorRoutes);
    }

    @Override
    public String name() {
        return "control-server";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        RoutingServlet routes =
                RoutingServlet.builder(reactor)
                        .with(HttpMethod.GET, "/health/live", r -> Answers.text(OK, "live"))
                        .with(HttpMethod.GET, "/health/ready", r -> readiness())
                        .with(HttpMethod.GET, "/metrics", this::metrics)
                        .with("/operator/*", operatorRoutes)
                        .build();
        server =
                HttpServer.builder(reactor, routes)
                        .withListenAddress(address.toSocketAddress())
                        .withMaxBodySize(MAX_BODY_BYTES)
                        .build();
        return HttpServers.listen(server);
    }

    @Override
    public CompletionStage<Void> stop() {
        return HttpServers.close(server);
    }

    private Promise<HttpResponse> readiness() {
        return ready.getAsBoolean()
                ? Answers.text(OK, "ready")
                : Answers.text(UNAVAILABLE, "not ready");
    }

    private Promise<HttpResponse> metrics(HttpRequest request) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        metricsWriter.write(out, registry.scrape());
        return Answers.text(OK, out.toString(StandardCharsets.UTF_8));
    }
}
