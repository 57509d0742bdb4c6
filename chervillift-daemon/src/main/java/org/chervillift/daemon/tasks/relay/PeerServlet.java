package org.chervillift.daemon.tasks.relay;

import static org.chervillift.http.HttpStatus.NOT_FOUND;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.http.Stages;

/**
 * Handles requests that other entry VMs relay.
 *
 * <p>The path is the mark of a relayed request: what arrives here is never relayed on.
 */
public final class PeerServlet implements AsyncServlet {

    /** The most relayed requests that are handled at a time; bounds memory and processor time. */
    public static final int MAX_HANDLED = 64;

    static final String PATH = "/relayed-requests";

    /** The JSON text of the longest body that is relayed is shorter than this. */
    private static final MemSize MAX_MESSAGE = MemSize.megabytes(1);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final RelayedAnswer BUSY =
            new RelayedAnswer(
                    new JobAnswer.Unavailable(
                            "Too many relayed requests; the request was not processed.",
                            RETRY_AFTER),
                    Optional.of(RelayCause.BUSY));

    private final Function<JobRequest, CompletionStage<RelayedAnswer>> service;
    private final BiFunction<String, String, JobSpec> decode;
    private int handled;

    /**
     * Creates a servlet.
     *
     * @param service handles requests and does not relay them
     * @param decode decodes a job from its identifier and the request's body
     */
    public PeerServlet(
            Function<JobRequest, CompletionStage<RelayedAnswer>> service,
            BiFunction<String, String, JobSpec> decode) {
        this.service = Checks.notNull("service", service);
        this.decode = Checks.notNull("decode", decode);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (request.getMethod() != HttpMethod.POST || !request.getPath().equals(PATH)) {
            return Answers.text(NOT_FOUND, "There is no such path.");
        }
        return request.loadBody(MAX_MESSAGE).then(this::handle);
    }

    private Promise<HttpResponse> handle(ByteBuf body) {
        RelayedRequest relayed;
        try {
            relayed = Json.decode(body.getString(StandardCharsets.UTF_8), RelayedRequest.class);
        } catch (ChervilliftException e) {
            return Answers.error(e);
        }
        if (handled >= MAX_HANDLED) {
            return encode(BUSY);
        }
        CompletionStage<RelayedAnswer> answer = service.apply(relayed.toJobRequest(decode));
        // Not before the service was called: a call that throws has no end that would be counted.
        handled++;
        return Stages.toPromise(answer).whenComplete(() -> handled--).then(PeerServlet::encode);
    }

    private static Promise<HttpResponse> encode(RelayedAnswer answer) {
        return Answers.json(AnswerMessage.of(answer));
    }
}
