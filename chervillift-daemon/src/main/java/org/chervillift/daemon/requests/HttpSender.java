package org.chervillift.daemon.requests;

import static org.chervillift.http.HttpStatus.UNAVAILABLE;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.http.IpNumberResolver;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Sends attempts over HTTP, each on its own connection.
 *
 * <p>A new connection shows that the target is reachable just before the request is sent, a
 * response cannot belong to another request, and a connection whose response is late is closed.
 */
public final class HttpSender implements Sender {

    /** States in a 503 response that the request has not run, and why. */
    public static final HttpHeader NOT_RUN = HttpHeaders.of("Chervillift-Not-Run");

    /** Carries the remaining time until the caller's deadline, in milliseconds. */
    public static final HttpHeader DEADLINE = HttpHeaders.of("Chervillift-Deadline-Ms");

    /** Names the entry VM that relays a request to another entry VM. */
    public static final HttpHeader RELAYED = HttpHeaders.of("Chervillift-Relayed");

    private static final HttpHeader VERDICT = HttpHeaders.of("Chervillift-Verdict");
    private static final HttpHeader TEAM = HttpHeaders.of("Chervillift-Team");
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    private static final String HEAD = "HEAD";
    private static final String LEAVING = "leaving";
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MAX_RESPONSE_TIME = Duration.ofHours(1);
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpClient client;
    private final Scheduler scheduler;
    private final String entryVm;
    private final MemSize maxBodySize;
    private final MemoryBudget memory;

    /**
     * Creates a sender on an event loop.
     *
     * @param maxBodyBytes the largest accepted response body
     * @param memory the memory budget of all response bodies; a body is read once it fits
     */
    public HttpSender(
            NioReactor reactor,
            Scheduler scheduler,
            String entryVm,
            int maxBodyBytes,
            MemoryBudget memory) {
        this.memory = Checks.notNull("memory", memory);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
        this.maxBodySize = MemSize.of(maxBodyBytes);
        SocketInspector sockets = new SocketInspector();
        client =
                HttpClient.builder(reactor, new IpNumberResolver())
                        .withNoKeepAlive()
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withReadWriteTimeout(MAX_RESPONSE_TIME)
                        .withMaxBodySize(maxBodySize)
                        .withInspector(new ConnectionInspector(sockets))
                        .withSocketInspector(sockets)
                        .withSocketSslInspector(sockets)
                        .build();
    }

    /** Closes all connections. */
    public Promise<?> stop() {
        return client.stop();
    }

    @Override
    public void send(
            RoutingDecision target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant deadline,
            Consumer<SendResult> onResult) {
        Attempt attempt = new Attempt(onResult);
        HttpRequest http = buildRequest(target, request, deadline);
        http.attach(Attempt.class, attempt);
        Scheduler.Cancellation timer = scheduler.schedule(remainingTime(deadline), attempt::expire);
        client.request(http)
                .then(r -> readBodyWithinBudget(target, request, r))
                .whenResult(attempt::complete)
                .whenException(e -> attempt.fail())
                .whenComplete(timer::cancel);
    }

    private Promise<SendResult> readBodyWithinBudget(
            RoutingDecision target, OutgoingRequest request, HttpResponse response) {
        long bytes = bytesToReserve(request, response);
        SettablePromise<Void> reserved = new SettablePromise<>();
        memory.reserve(bytes, () -> reserved.set(null));
        return reserved.then(() -> response.loadBody(maxBodySize))
                .map(b -> result(target, request, response, b, () -> memory.release(bytes)))
                .whenException(e -> memory.release(bytes));
    }

    /** Returns the memory to reserve for a body: the maximum without a valid content length. */
    private long bytesToReserve(OutgoingRequest request, HttpResponse response) {
        String contentLength = response.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (request.method().equals(HEAD)) {
            return 0;
        }
        if (contentLength == null || !contentLength.strip().matches("[0-9]{1,9}")) {
            return maxBodySize.toLong();
        }
        return Math.min(maxBodySize.toLong(), Long.parseLong(contentLength.strip()));
    }

    private Duration remainingTime(Instant deadline) {
        Duration left = Duration.between(scheduler.now(), deadline);
        return left.isNegative() ? Duration.ZERO : left;
    }

    private HttpRequest buildRequest(
            RoutingDecision target, OutgoingRequest request, Instant deadline) {
        HttpMethod method = HttpMethod.valueOf(request.method());
        HttpRequest.Builder builder = HttpRequest.builder(method, url(target, request));
        request.headers().forEach(h -> builder.withHeader(HttpHeaders.of(h.name()), h.value()));
        builder.withHeader(
                DEADLINE, Long.toString(Math.max(1, remainingTime(deadline).toMillis())));
        if (target instanceof RoutingDecision.ToEntryVm) {
            builder.withHeader(RELAYED, entryVm);
            if (!request.authorization().isBlank()) {
                builder.withHeader(HttpHeaders.AUTHORIZATION, request.authorization());
            }
        } else {
            builder.withHeader(TEAM, request.team());
        }
        request.identifier().ifPresent(i -> builder.withHeader(IDEMPOTENCY_KEY, i));
        if (request.body().length > 0) {
            builder.withBody(request.body());
        }
        return builder.build();
    }

    private static String url(RoutingDecision target, OutgoingRequest request) {
        return switch (target) {
            case RoutingDecision.ToUpstream u ->
                    "http://" + u.upstream().address() + request.path();
            case RoutingDecision.ToEntryVm e ->
                    "http://"
                            + e.entryVm().address()
                            + "/queues/"
                            + request.queue()
                            + request.path();
            case RoutingDecision.NoRoom n ->
                    throw new IllegalArgumentException("The choice has no target.");
            case RoutingDecision.NoUpstream n ->
                    throw new IllegalArgumentException("The choice has no target.");
        };
    }

    private static SendResult result(
            RoutingDecision target,
            OutgoingRequest request,
            HttpResponse response,
            ByteBuf body,
            Runnable onRelease) {
        byte[] bytes = body.getArray();
        if (!isComplete(request, response, bytes.length)) {
            onRelease.run();
            return new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
        }
        UpstreamResponse reply =
                new UpstreamResponse(
                        response.getCode(), HeaderFilter.toCaller(response), bytes, onRelease);
        return target instanceof RoutingDecision.ToEntryVm
                ? relayResult(response, reply)
                : upstreamResult(response, reply);
    }

    /** A response delimited by connection close may be cut off, so it needs a length or chunks. */
    private static boolean isComplete(OutgoingRequest request, HttpResponse response, int length) {
        int status = response.getCode();
        if (request.method().equals(HEAD) || status == NO_CONTENT || status == NOT_MODIFIED) {
            return true;
        }
        String transferEncoding = response.getHeader(HttpHeaders.TRANSFER_ENCODING);
        if (transferEncoding != null
                && transferEncoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            return true;
        }
        String contentLength = response.getHeader(HttpHeaders.CONTENT_LENGTH);
        boolean compressed = response.getHeader(HttpHeaders.CONTENT_ENCODING) != null;
        return contentLength != null
                && (compressed || contentLength.strip().equals(Integer.toString(length)));
    }

    private static SendResult upstreamResult(HttpResponse response, UpstreamResponse reply) {
        String notRun = response.getHeader(NOT_RUN);
        if (response.getCode() != UNAVAILABLE || notRun == null) {
            return new SendResult.Replied(reply);
        }
        reply.release();
        SendResult.Reason reason =
                notRun.equalsIgnoreCase(LEAVING)
                        ? SendResult.Reason.LEAVING
                        : SendResult.Reason.BUSY;
        return new SendResult.NotRun(reason, ErrorCode.NO_ROOM);
    }

    private static SendResult relayResult(HttpResponse response, UpstreamResponse reply) {
        String verdict = response.getHeader(VERDICT);
        if ("completed".equals(verdict)) {
            return new SendResult.Replied(reply);
        }
        reply.release();
        return switch (verdict) {
            case "not-run" -> new SendResult.NotRun(SendResult.Reason.BUSY, ErrorCode.NO_ROOM);
            case null, default -> new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED);
        };
    }
}
