package org.chervillift.daemon.tasks.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiFunction;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;

/**
 * A caller's request as one entry VM sends it to another.
 *
 * @param action what the caller wants
 * @param host the host name that the caller gave
 * @param path the path, which names queue and job
 * @param key the key, if one came
 * @param body the request's body
 * @param waitMillis how long the sender waits for the answer, in milliseconds
 */
public record RelayedRequest(
        JobRequest.Action action,
        String host,
        String path,
        Optional<String> key,
        String body,
        long waitMillis) {
    public RelayedRequest {
        Checks.notNull("action", action);
        Checks.notNull("host", host);
        Checks.notNull("path", path);
        Checks.notNull("key", key);
        Checks.notNull("body", body);
        Checks.notNegative("waitMillis", waitMillis);
    }

    /** Returns the request of a caller for a peer. */
    public static RelayedRequest of(JobRequest request, long waitMillis) {
        return new RelayedRequest(
                request.action(),
                request.host(),
                request.path(),
                request.key(),
                request.body(),
                waitMillis);
    }

    /**
     * Returns the request as if the caller had sent it to this entry VM.
     *
     * @param decode decodes the job from its identifier and the body
     */
    public JobRequest toJobRequest(BiFunction<String, String, JobSpec> decode) {
        return new JobRequest(
                action,
                host,
                path,
                key,
                id -> decode.apply(id, body),
                body,
                Optional.of(Duration.ofMillis(waitMillis)));
    }
}
