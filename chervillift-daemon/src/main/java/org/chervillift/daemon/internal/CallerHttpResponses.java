package org.chervillift.daemon.internal;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.UpstreamResponse;
import org.chervillift.http.Json;

/** Builds the HTTP responses sent to callers. */
public final class CallerHttpResponses {

    /** The header with the name of the verdict. */
    public static final HttpHeader VERDICT_HEADER = HttpHeaders.of("Chervillift-Verdict");

    /** The header with the number of the error, set if no upstream response is passed on. */
    public static final HttpHeader ERROR_CODE_HEADER = HttpHeaders.of("Chervillift-Code");

    private static final String EARLIER_CALLS_NOT_ASKED =
            CallerResponse.EarlierCalls.NOT_ASKED.wireName();
    private static final long MILLIS_PER_SECOND = 1_000;

    private CallerHttpResponses() {}

    /** Returns the HTTP response for the answer to a caller. */
    public static HttpResponse of(CallerResponse answer) {
        return switch (answer) {
            case CallerResponse.FromUpstream passed -> upstreamResponse(passed.reply());
            case CallerResponse.Generated said ->
                    verdictResponse(
                            said.verdict(),
                            said.code(),
                            detail(said.verdict()),
                            said.retryAfter(),
                            said.earlier().wireName());
        };
    }

    private static HttpResponse upstreamResponse(UpstreamResponse reply) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(reply.status())
                        .withHeader(VERDICT_HEADER, new Verdict.Completed().word());
        reply.headers().forEach(h -> builder.withHeader(HttpHeaders.of(h.name()), h.value()));
        if (reply.body().length == 0) {
            reply.release();
            return builder.build();
        }
        return builder.withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(reply.body().length))
                .withBodyStream(reply.bodyStream())
                .build();
    }

    private static String detail(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> "";
            case Verdict.NotRun n -> n.detail();
            case Verdict.MayHaveRun m -> m.detail();
        };
    }

    /** Returns the response to a request that got no upstream response. */
    public static HttpResponse of(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c ->
                    throw new IllegalArgumentException(
                            "a completed request needs an upstream response");
            case Verdict.NotRun n ->
                    verdictResponse(
                            n, n.code(), n.detail(), n.retryAfter(), EARLIER_CALLS_NOT_ASKED);
            case Verdict.MayHaveRun m ->
                    verdictResponse(
                            m, m.code(), m.detail(), Optional.empty(), EARLIER_CALLS_NOT_ASKED);
        };
    }

    private static HttpResponse verdictResponse(
            Verdict verdict,
            ErrorCode code,
            String detail,
            Optional<Duration> retryAfter,
            String earlierCalls) {
        VerdictBody body =
                new VerdictBody(
                        verdict.word(), code.number(), code.sentence(), detail, earlierCalls);
        HttpResponse.Builder builder =
                HttpResponse.ofCode(code.httpStatus())
                        .withHeader(VERDICT_HEADER, verdict.word())
                        .withHeader(ERROR_CODE_HEADER, String.valueOf(code.number()))
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json; charset=utf-8")
                        .withBody(Json.encode(body).getBytes(StandardCharsets.UTF_8));
        retryAfter.ifPresent(
                d -> builder.withHeader(HttpHeaders.RETRY_AFTER, toRetryAfterSeconds(d)));
        return builder.build();
    }

    private static String toRetryAfterSeconds(Duration duration) {
        long secondsRoundedUp = Math.ceilDiv(duration.toMillis(), MILLIS_PER_SECOND);
        return String.valueOf(Math.max(1, secondsRoundedUp));
    }

    /** The JSON body of a response that does not come from an upstream. */
    private record VerdictBody(
            String verdict, int code, String sentence, String detail, String earlierCalls) {}
}
