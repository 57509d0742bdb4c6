package org.chervillift.api.tasks;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.chervillift.api.Checks;

/**
 * A caller's request about jobs.
 *
 * @param action what the caller wants
 * @param host the host name that the caller gave
 * @param path the path, which names queue and job
 * @param key the key, if one came
 * @param decode reads the job from the request's body, given its identifier; throws {@link
 *     org.chervillift.api.ChervilliftException} for a body that is not well formed
 * @param body the request's body, for another entry VM that may serve the request
 * @param callerWait how long the caller waits for the answer, if it said so
 */
public record JobRequest(
        Action action,
        String host,
        String path,
        Optional<String> key,
        Function<String, JobSpec> decode,
        String body,
        Optional<Duration> callerWait) {

    /** What a caller wants. */
    public enum Action {
        /** Hand a job in. */
        SUBMIT,
        /** Know a job's state, or the length of a queue. */
        READ,
        /** Withdraw a job. */
        CANCEL
    }

    public JobRequest {
        Checks.notNull("action", action);
        Checks.notNull("host", host);
        Checks.notNull("path", path);
        Checks.notNull("key", key);
        Checks.notNull("decode", decode);
        Checks.notNull("body", body);
        Checks.notNull("callerWait", callerWait);
    }

    /**
     * Creates a request without a body of its own, of a caller that did not say how long it waits.
     */
    public JobRequest(
            Action action,
            String host,
            String path,
            Optional<String> key,
            Function<String, JobSpec> decode) {
        this(action, host, path, key, decode, "", Optional.empty());
    }
}
