package org.chervillift.daemon.internal;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/**
 * A caller's request, checked.
 *
 * @param method the HTTP method
 * @param queue the queue
 * @param path the path that the upstream is asked for
 * @param key the key, if one came
 * @param identifier the request identifier, if one came
 * @param workMillis a header that is passed on to the upstream, if it came
 */
public record CallerRequest(
        HttpMethod method,
        String queue,
        String path,
        Optional<String> key,
        Optional<String> identifier,
        Optional<String> workMillis) {

    /** Carries the request identifier. */
    public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    private static final HttpHeader WORK_MILLIS = HttpHeaders.of("Work-Millis");
    private static final String BEARER = "Bearer ";
    private static final int MOST_IDENTIFIER_LENGTH = 200;
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
        Checks.notNull("workMillis", workMillis);
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
                "/" + request.getRelativePath(),
                key(request),
                identifier(request),
                Optional.ofNullable(request.getHeader(WORK_MILLIS)));
    }

    /** Returns whether running it twice is the same as running it once, as HTTP defines. */
    public boolean isIdempotent() {
        return method != HttpMethod.POST;
    }

    private static Optional<String> key(HttpRequest request) {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        if (header == null) {
            return Optional.empty();
        }
        if (!header.startsWith(BEARER) || header.length() == BEARER.length()) {
            throw bad("The Authorization header must be: Bearer KEY.");
        }
        return Optional.of(header.substring(BEARER.length()));
    }

    private static Optional<String> identifier(HttpRequest request) {
        String header = request.getHeader(IDEMPOTENCY_KEY);
        if (header != null && (header.isBlank() || header.length() > MOST_IDENTIFIER_LENGTH)) {
            throw bad("The Idempotency-Key must have 1 to 200 characters.");
        }
        return Optional.ofNullable(header);
    }

    private static ChervilliftException bad(String detail) {
        return new ChervilliftException(ErrorCode.BAD_REQUEST, detail);
    }
}
