package org.chervillift.daemon.tasks.relay;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.core.tasks.relay.RelayCause;

/**
 * The JSON form of an answer to a relayed request.
 *
 * @param type the kind of answer
 * @param status the status of a job, in a state
 * @param jobs the number of pending jobs, in a count
 * @param detail the sentence of a refusal
 * @param retryAfter when the caller should retry, in the form of ISO 8601
 * @param cause why another entry VM may be able to serve the request, if it may
 */
record AnswerMessage(
        Type type,
        Optional<JobStatus> status,
        int jobs,
        String detail,
        Optional<String> retryAfter,
        Optional<RelayCause> cause) {

    /** The kinds of answers. */
    enum Type {
        ACCEPTED,
        CANCELLED,
        STATE,
        PENDING,
        NO_SUCH_QUEUE,
        NO_SUCH_JOB,
        KEY_REFUSED,
        NOT_ALLOWED,
        MALFORMED,
        TOO_LARGE,
        TOO_BUSY,
        UNAVAILABLE,
        OUTCOME_UNKNOWN
    }

    AnswerMessage {
        Checks.notNull("type", type);
        Checks.notNull("status", status);
        Checks.notNull("detail", detail);
        Checks.notNull("retryAfter", retryAfter);
        Checks.notNull("cause", cause);
    }

    private static AnswerMessage of(Type type) {
        return of(type, "");
    }

    private static AnswerMessage of(Type type, String detail) {
        return new AnswerMessage(
                type, Optional.empty(), 0, detail, Optional.empty(), Optional.empty());
    }

    private static AnswerMessage of(Type type, String detail, Duration retryAfter) {
        return new AnswerMessage(
                type,
                Optional.empty(),
                0,
                detail,
                Optional.of(retryAfter.toString()),
                Optional.empty());
    }

    private static AnswerMessage ofStatus(JobStatus status) {
        return new AnswerMessage(
                Type.STATE, Optional.of(status), 0, "", Optional.empty(), Optional.empty());
    }

    private static AnswerMessage ofCount(int jobs) {
        return new AnswerMessage(
                Type.PENDING, Optional.empty(), jobs, "", Optional.empty(), Optional.empty());
    }

    /** Returns the message for an answer. */
    static AnswerMessage of(RelayedAnswer relayed) {
        AnswerMessage message = of(relayed.answer());
        return new AnswerMessage(
                message.type,
                message.status,
                message.jobs,
                message.detail,
                message.retryAfter,
                relayed.cause());
    }

    private static AnswerMessage of(JobAnswer answer) {
        return switch (answer) {
            case JobAnswer.Accepted a -> of(Type.ACCEPTED);
            case JobAnswer.Cancelled c -> of(Type.CANCELLED);
            case JobAnswer.State s -> ofStatus(s.status());
            case JobAnswer.Pending p -> ofCount(p.jobs());
            case JobAnswer.NoSuchQueue q -> of(Type.NO_SUCH_QUEUE);
            case JobAnswer.NoSuchJob j -> of(Type.NO_SUCH_JOB);
            case JobAnswer.KeyRefused k -> of(Type.KEY_REFUSED);
            case JobAnswer.NotAllowed n -> of(Type.NOT_ALLOWED);
            case JobAnswer.Malformed m -> of(Type.MALFORMED, m.detail());
            case JobAnswer.TooLarge t -> of(Type.TOO_LARGE, t.detail());
            case JobAnswer.TooBusy b -> of(Type.TOO_BUSY, "", b.retryAfter());
            case JobAnswer.Unavailable u -> of(Type.UNAVAILABLE, u.detail(), u.retryAfter());
            case JobAnswer.OutcomeUnknown o -> of(Type.OUTCOME_UNKNOWN);
        };
    }

    /** Returns the answer; throws a runtime exception if a part of it is missing. */
    RelayedAnswer toAnswer() {
        return new RelayedAnswer(toJobAnswer(), cause);
    }

    private JobAnswer toJobAnswer() {
        return switch (type) {
            case ACCEPTED -> new JobAnswer.Accepted();
            case CANCELLED -> new JobAnswer.Cancelled();
            case STATE -> new JobAnswer.State(status.orElseThrow());
            case PENDING -> new JobAnswer.Pending(jobs);
            case NO_SUCH_QUEUE -> new JobAnswer.NoSuchQueue();
            case NO_SUCH_JOB -> new JobAnswer.NoSuchJob();
            case KEY_REFUSED -> new JobAnswer.KeyRefused();
            case NOT_ALLOWED -> new JobAnswer.NotAllowed();
            case MALFORMED -> new JobAnswer.Malformed(detail);
            case TOO_LARGE -> new JobAnswer.TooLarge(detail);
            case TOO_BUSY -> new JobAnswer.TooBusy(parseRetryAfter());
            case UNAVAILABLE -> new JobAnswer.Unavailable(detail, parseRetryAfter());
            case OUTCOME_UNKNOWN -> new JobAnswer.OutcomeUnknown();
        };
    }

    private Duration parseRetryAfter() {
        return Duration.parse(retryAfter.orElseThrow());
    }
}
