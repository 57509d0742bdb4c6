package org.chervillift.daemon.internal;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.http.IpNumberResolver;

/** Sends a request to an upstream once, and says whether it may have run. */
public final class UpstreamClient {

    private static final HttpHeader TEAM = HttpHeaders.of("Chervillift-Team");
    private static final HttpHeader NOT_RUN = HttpHeaders.of("Chervillift-Not-Run");
    private static final HttpHeader WORK_MILLIS = HttpHeaders.of("Work-Millis");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);
    private static final int UNAVAILABLE = 503;
    private static final int KIB = 1024;

    private final HttpClient pooled;
    private final HttpClient fresh;
    private final MemSize mostBody;

    /** Creates a client on an event loop. */
    public UpstreamClient(NioReactor reactor, DaemonSettings settings) {
        mostBody = MemSize.of((long) settings.mostBodyKib() * KIB);
        pooled = builder(reactor, settings).withKeepAliveTimeout(KEEP_ALIVE).build();
        fresh = builder(reactor, settings).withNoKeepAlive().build();
    }

    private HttpClient.Builder builder(NioReactor reactor, DaemonSettings settings) {
        return HttpClient.builder(reactor, new IpNumberResolver())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(settings.upstreamTimeout())
                .withMaxBodySize(mostBody)
                .withInspector(new ConnectInspector());
    }

    /**
     * Sends a request once.
     *
     * <p>A request that is not idempotent gets a connection of its own, so that no connection that
     * has gone silent can swallow it.
     */
    public Promise<UpstreamResult> send(
            CallerRequest request, byte[] body, String team, VmRow upstream) {
        HttpRequest sent = build(request, body, team, upstream);
        HttpClient client = request.isIdempotent() ? pooled : fresh;
        return client.request(sent)
                .then(r -> r.loadBody(mostBody).map(b -> answered(r, b)))
                .then((result, fault) -> Promise.of(fault == null ? result : failed(sent, fault)));
    }

    /** Closes all connections. */
    public Promise<?> stop() {
        return pooled.stop().both(fresh.stop());
    }

    private static HttpRequest build(
            CallerRequest request, byte[] body, String team, VmRow upstream) {
        HttpRequest.Builder builder =
                HttpRequest.builder(
                                request.method(), "http://" + upstream.address() + request.path())
                        .withHeader(TEAM, team);
        request.identifier().ifPresent(i -> builder.withHeader(CallerRequest.IDEMPOTENCY_KEY, i));
        request.workMillis().ifPresent(w -> builder.withHeader(WORK_MILLIS, w));
        if (body.length > 0) {
            builder.withBody(body);
        }
        return builder.build();
    }

    private static UpstreamResult answered(HttpResponse response, ByteBuf body) {
        if (response.getCode() == UNAVAILABLE && response.getHeader(NOT_RUN) != null) {
            return new UpstreamResult.Failed(
                    new Verdict.NotRun(
                            ErrorCode.NO_ROOM,
                            "The upstream said that it is busy.",
                            Optional.empty()));
        }
        String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
        return new UpstreamResult.Answered(
                response.getCode(), type == null ? "" : type, body.getArray());
    }

    private static UpstreamResult failed(HttpRequest sent, Exception fault) {
        String detail = String.valueOf(fault.getMessage());
        if (sent.getAttachment(NeverConnected.class) != null) {
            return new UpstreamResult.Failed(
                    new Verdict.NotRun(ErrorCode.NO_UPSTREAM, detail, Optional.empty()));
        }
        return new UpstreamResult.Failed(new Verdict.MayHaveRun(ErrorCode.UPSTREAM_FAILED, detail));
    }

    private record NeverConnected() {}

    /** Marks a request whose connection was never made, so that none of its bytes have left. */
    private static final class ConnectInspector implements HttpClient.Inspector {

        @Override
        public void onConnectError(
                HttpRequest request, InetSocketAddress address, Exception fault) {
            request.attach(NeverConnected.class, new NeverConnected());
        }

        @Override
        public void onResolveError(HttpRequest request, Exception fault) {
            request.attach(NeverConnected.class, new NeverConnected());
        }

        @Override
        public void onRequest(HttpRequest request) {
            // Nothing to note.
        }

        @Override
        public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
            // Nothing to note.
        }

        @Override
        public void onResolve(HttpRequest request, DnsResponse response) {
            // Nothing to note.
        }

        @Override
        public void onConnecting(HttpRequest request, InetSocketAddress address) {
            // Nothing to note.
        }

        @Override
        public void onConnect(HttpRequest request, HttpClientConnection connection) {
            // Nothing to note.
        }

        @Override
        public void onHttpResponse(HttpResponse response) {
            // Nothing to note.
        }

        @Override
        public void onHttpError(HttpClientConnection connection, Exception fault) {
            // Nothing to note.
        }

        @Override
        public void onMalformedHttpResponse(
                HttpClientConnection connection, MalformedHttpException fault, byte[] content) {
            // Nothing to note.
        }

        @Override
        public void onDisconnect(HttpClientConnection connection) {
            // Nothing to note.
        }

        @Override
        public <T extends HttpClient.Inspector> T lookup(Class<T> type) {
            return type.isInstance(this) ? type.cast(this) : null;
        }
    }
}
