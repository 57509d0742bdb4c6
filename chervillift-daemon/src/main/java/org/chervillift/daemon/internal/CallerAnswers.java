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

/** Turns verdicts into the answers that callers get. */
public final class CallerAnswers {

    /** Carries the word of the verdict. */
    public static final HttpHeader VERDICT = HttpHeaders.of("Chervillift-Verdict");

    /** Carries the number of the error where there is no answer of an upstream. */
    public static final HttpHeader CODE = HttpHeaders.of("Chervillift-Code");

    private static final String NOT_ASKED = CallerResponse.EarlierCalls.NOT_ASKED.wireName();
    private static final long MILLIS_PER_SECOND = 1_000;

    private CallerAnswers() {}

    /** Returns the one answer to a caller. */
    public static HttpResponse of(CallerResponse answer) {
        return switch (answer) {
            case CallerResponse.FromUpstream p -> completed(p.reply());
            case CallerResponse.Generated s ->
                    build(
                            s.verdict(),
                            s.code(),
                            detail(s.verdict()),
                            s.retryAfter(),
                            s.earlier().wireName());
        };
    }

    private static HttpResponse completed(UpstreamResponse reply) {
        HttpResponse.Builder builder =
                HttpResponse.ofCode(reply.status())
                        .withHeader(VERDICT, new Verdict.Completed().word());
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

    /** Returns the answer for a request that has no answer of an upstream. */
    public static HttpResponse of(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> throw new IllegalArgumentException("needs an answer");
            case Verdict.NotRun n -> build(n, n.code(), n.detail(), n.retryAfter(), NOT_ASKED);
            case Verdict.MayHaveRun m ->
                    build(m, m.code(), m.detail(), Optional.empty(), NOT_ASKED);
        };
    }

    private static HttpResponse build(
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
                        .withHeader(VERDICT, verdict.word())
                        .withHeader(CODE, String.valueOf(code.number()))
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json; charset=utf-8")
                        .withBody(Json.encode(body).getBytes(StandardCharsets.UTF_8));
        retryAfter.ifPresent(d -> builder.withHeader(HttpHeaders.RETRY_AFTER, seconds(d)));
        return builder.build();
    }

    private static String seconds(Duration duration) {
        long rounded = Math.ceilDiv(duration.toMillis(), MILLIS_PER_SECOND);
        return String.valueOf(Math.max(1, rounded));
    }

    /** The body of an answer without an answer of an upstream. */
    private record VerdictBody(
            String verdict, int code, String sentence, String detail, String earlierCalls) {}
}
