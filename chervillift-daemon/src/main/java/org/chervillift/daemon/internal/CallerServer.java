package org.chervillift.daemon.internal;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.daemon.internal.report.UsageReporter;
import org.chervillift.http.Answers;
import org.chervillift.runtime.supervision.Part;

/** The HTTP server for callers' requests. */
public final class CallerServer implements Part {

    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);

    private final NioReactor reactor;
    private final DaemonSettings settings;
    private final RequestHandler handler;
    private final UsageReporter usageReporter;
    private HttpServer server;

    /** Creates a server that passes requests to a handler and reports the responses as usage. */
    public CallerServer(
            NioReactor reactor,
            DaemonSettings settings,
            RequestHandler handler,
            UsageReporter usageReporter) {
        this.reactor = Checks.notNull("reactor", reactor);
        this.settings = Checks.notNull("settings", settings);
        this.handler = Checks.notNull("handler", handler);
        this.usageReporter = Checks.notNull("usageReporter", usageReporter);
    }

    @Override
    public String name() {
        return "caller-server";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        RoutingServlet routes =
                RoutingServlet.builder(reactor)
                        .with("/queues/:queue/*", this::handle)
                        .with(
                                "/*",
                                r ->
                                        Answers.error(
                                                ErrorCode.UNKNOWN_QUEUE,
                                                "The path must be /queues/QUEUE."))
                        .build();
        server =
                HttpServer.builder(reactor, routes)
                        .withListenAddress(settings.callerAddress().toSocketAddress())
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                        .build();
        return HttpServers.listen(server);
    }

    private Promise<HttpResponse> handle(HttpRequest request) {
        String queue = request.getPathParameter("queue");
        long start = System.nanoTime();
        return handler.handle(request)
                .whenResult(
                        r ->
                                usageReporter.countResponse(
                                        queue, r, Duration.ofNanos(System.nanoTime() - start)));
    }

    @Override
    public CompletionStage<Void> stop() {
        return HttpServers.close(server);
    }
}
