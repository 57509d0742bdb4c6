package org.chervillift.api;

import java.time.Duration;
import java.util.Optional;

/**
 * Says whether a request may have run at an upstream.
 *
 * <p>The verdict travels from the socket to the caller's answer. {@link NotRun} is said only when
 * it is true. {@link MayHaveRun} is said only when it cannot be known.
 */
public sealed interface Verdict {

    /** Returns the word that the caller's answer carries. */
    default String word() {
        return switch (this) {
            case Completed c -> "completed";
            case NotRun n -> "not-run";
            case MayHaveRun m -> "may-have-run";
        };
    }

    /** The upstream ran the request, and its whole answer is here. */
    record Completed() implements Verdict {}

    /**
     * The request has not run and will not run.
     *
     * @param code why
     * @param detail one plain sentence with the values that mattered
     * @param retryAfter when it is worth asking again, if that is known
     */
    record NotRun(ErrorCode code, String detail, Optional<Duration> retryAfter) implements Verdict {
        public NotRun {
            Checks.notNull("code", code);
            Checks.notNull("detail", detail);
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /**
     * The request may have run, and nobody here can know.
     *
     * @param code why
     * @param detail one plain sentence with the values that mattered
     */
    record MayHaveRun(ErrorCode code, String detail) implements Verdict {
        public MayHaveRun {
            Checks.notNull("code", code);
            Checks.notNull("detail", detail);
        }
    }
}
