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
 * A caller's request, checked.
 *
 * @param method the HTTP method
 * @param queue the queue
 * @param path the path and query that the upstream is asked for
 * @param key the key, if one came
 * @param identifier the request identifier, if one came
 * @param deadline how long the caller waits, if it said so
 * @param relayed whether another entry VM sent it here
 * @param headers the headers that go on to the upstream
 */
public record CallerRequest(
        HttpMethod method,
        String queue,
        String path,
        Optional<String> key,
        Optional<String> identifier,
        Optional<Duration> deadline,
        boolean relayed,
        List<Header> headers) {

    /** Carries the request identifier. */
    public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    private static final String BEARER = "Bearer ";
    private static final int MOST_KEY_LENGTH = 256;
    private static final int MOST_DEADLINE_DIGITS = 7;
    private static final long MOST_DEADLINE_MILLIS = 3_600_000;
    private static final String IDENTIFIER_FORM = "[!-~]{1,200}";
    private static final Set<HttpMethod> ALLOWED =
            EnumSet.of(
                    HttpMethod.GET,
                    HttpMethod.HEAD,
                    HttpMethod.PUT,
                    HttpMethod.DELETE,
                    HttpMethod.POST);

    public CallerRequest {
        Checks.notNull("method", method);
        Checks.notBlank("queue", queue);
        Checks.notBlank("path", path);
        Checks.notNull("key", key);
        Checks.notNull("identifier", identifier);
        Checks.notNull("deadline", deadline);
        headers = List.copyOf(headers);
    }

    /**
     * Reads a request.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_REQUEST} if it is not well formed
     */
    public static CallerRequest parse(HttpRequest request) {
        if (!ALLOWED.contains(request.getMethod())) {
            throw bad("The method " + request.getMethod() + " is not taken.");
        }
        return new CallerRequest(
                request.getMethod(),
                request.getPathParameter("queue"),
                path(request),
                key(request),
                identifier(request),
                deadline(request),
                request.getHeader(HttpSender.RELAYED) != null,
                HeaderFilter.toUpstream(request));
    }

    /** Returns whether running it twice is the same as running it once, as HTTP defines. */
    public boolean isIdempotent() {
        return method != HttpMethod.POST;
    }

    /** Returns the credential as the caller sent it, or blank. */
    public String authorization() {
        return key.map(k -> BEARER + k).orElse("");
    }

    private static String path(HttpRequest request) {
        String query = request.getQuery();
        String path = "/" + request.getRelativePath();
        return query == null || query.isEmpty() ? path : path + "?" + query;
    }

    private static Optional<String> key(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        if (header == null) {
            return Optional.empty();
        }
        int length = header.length() - BEARER.length();
        if (!header.startsWith(BEARER) || length < 1 || length > MOST_KEY_LENGTH) {
            throw bad("The Authorization header must be: Bearer KEY.");
        }
        return Optional.of(header.substring(BEARER.length()));
    }

    private static Optional<String> identifier(HttpRequest request) {
        String header = request.getHeader(IDEMPOTENCY_KEY);
        if (header != null && !header.matches(IDENTIFIER_FORM)) {
            throw bad("The Idempotency-Key must have 1 to 200 printable ASCII characters.");
        }
        return Optional.ofNullable(header);
    }

    private static Optional<Duration> deadline(HttpRequest request) {
        String header = request.getHeader(HttpSender.DEADLINE);
        if (header == null) {
            return Optional.empty();
        }
        boolean number = header.matches("[0-9]{1," + MOST_DEADLINE_DIGITS + "}");
        long millis = number ? Long.parseLong(header) : 0;
        if (millis < 1 || millis > MOST_DEADLINE_MILLIS) {
            throw bad("Chervillift-Deadline-Ms must be from 1 to " + MOST_DEADLINE_MILLIS + ".");
        }
        return Optional.of(Duration.ofMillis(millis));
    }

    private static ChervilliftException bad(String detail) {
        return new ChervilliftException(ErrorCode.BAD_REQUEST, detail);
    }
}
