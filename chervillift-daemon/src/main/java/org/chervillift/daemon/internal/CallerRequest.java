package org.chervillift.daemon.internal;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.daemon.requests.Header;
import org.chervillift.daemon.requests.HeaderFilter;
import org.chervillift.daemon.requests.HttpSender;

/**
 * A caller's request with validated method, headers and path.
 *
 * @param method the HTTP method
 * @param queue the name of the queue
 * @param pathAndQuery the path and query to request from the upstream
 * @param teamKey the key of a team, if the request has one
 * @param identifier the request identifier (idempotency key), if the request has one
 * @param timeout how long the caller waits, if the request states it
 * @param relayed whether another entry VM relayed the request to this one
 * @param headers the headers to forward to the upstream
 */
public record CallerRequest(
        HttpMethod method,
        String queue,
        String pathAndQuery,
        Optional<String> teamKey,
        Optional<String> identifier,
        Optional<Duration> timeout,
        boolean relayed,
        List<Header> headers) {

    /** The header with the request identifier. */
    public static final HttpHeader IDEMPOTENCY_KEY_HEADER = HttpHeaders.of("Idempotency-Key");

    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_KEY_LENGTH = 256;
    private static final int MAX_TIMEOUT_DIGITS = 7;
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final String IDENTIFIER_PATTERN = "[!-~]{1,200}";
    private static final Set<HttpMethod> ALLOWED_METHODS =
            EnumSet.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.POST);

    public CallerRequest {
        Checks.notNull("method", method);
        Checks.notBlank("queue", queue);
        Checks.notBlank("path", pathAndQuery);
        Checks.notNull("key", teamKey);
        Checks.notNull("identifier", identifier);
        Checks.notNull("deadline", timeout);
        headers = List.copyOf(headers);
    }

    /**
     * Parses and validates a request.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_REQUEST} if it is malformed
     */
    public static CallerRequest parse(HttpRequest request) {
        if (!ALLOWED_METHODS.contains(request.getMethod())) {
            throw badRequest("The method " + request.getMethod() + " is not allowed.");
        }
        return new CallerRequest(
                request.getMethod(),
                request.getPathParameter("queue"),
                pathAndQuery(request),
                teamKey(request),
                identifier(request),
                timeout(request),
                request.getHeader(HttpSender.RELAYED) != null,
                HeaderFilter.toUpstream(request));
    }

    /** Returns whether the method is idempotent as HTTP defines it. */
    public boolean isIdempotent() {
        return method != HttpMethod.POST;
    }

    /** Returns the Authorization header that the caller sent, or an empty string. */
    public String authorization() {
        return teamKey.map(k -> BEARER_PREFIX + k).orElse("");
    }

    private static String pathAndQuery(HttpRequest request) {
        String query = request.getQuery();
        String path = "/" + request.getRelativePath();
        return query == null || query.isEmpty() ? path : path + "?" + query;
    }

    private static Optional<String> teamKey(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        if (header == null) {
            return Optional.empty();
        }
        int length = header.length() - BEARER_PREFIX.length();
        if (!header.startsWith(BEARER_PREFIX) || length < 1 || length > MAX_KEY_LENGTH) {
            throw badRequest("The Authorization header must have the form: Bearer KEY.");
        }
        return Optional.of(header.substring(BEARER_PREFIX.length()));
    }

    private static Optional<String> identifier(HttpRequest request) {
        String header = request.getHeader(IDEMPOTENCY_KEY_HEADER);
        if (header != null && !header.matches(IDENTIFIER_PATTERN)) {
            throw badRequest("The Idempotency-Key must have 1 to 200 printable ASCII characters.");
        }
        return Optional.ofNullable(header);
    }

    private static Optional<Duration> timeout(HttpRequest request) {
        String header = request.getHeader(HttpSender.DEADLINE);
        if (header == null) {
            return Optional.empty();
        }
        boolean wellFormed = header.matches("[0-9]{1," + MAX_TIMEOUT_DIGITS + "}");
        long millis = wellFormed ? Long.parseLong(header) : 0;
        if (millis < 1 || millis > MAX_TIMEOUT_MILLIS) {
            throw badRequest(
                    "Chervillift-Deadline-Ms must be from 1 to " + MAX_TIMEOUT_MILLIS + ".");
        }
        return Optional.of(Duration.ofMillis(millis));
    }

    private static ChervilliftException badRequest(String detail) {
        return new ChervilliftException(ErrorCode.BAD_REQUEST, detail);
    }
}
