package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.supervision.Scheduler.Cancellation;

/**
 * Makes calls that never throw, and whose answer always comes: the value, or a failure.
 *
 * <p>What must go on is carried on by the callback of a call, so it would end with a call that
 * never answers. The bounds are longer than those of the clients, which should answer first.
 */
final class BoundedCalls {

    private final Supervision supervision;
    private final Function<String, ChervilliftException> failure;

    /**
     * Creates a maker of calls.
     *
     * @param failure creates the failure of a call whose outcome is unknown, from what was found
     */
    BoundedCalls(Supervision supervision, Function<String, ChervilliftException> failure) {
        this.supervision = Checks.notNull("supervision", supervision);
        this.failure = Checks.notNull("failure", failure);
    }

    /** Makes a call; fails if it throws, answers with null, or does not answer within a bound. */
    <T> CompletionStage<T> call(String name, Duration bound, Supplier<CompletionStage<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Cancellation timeout =
                supervision
                        .scheduler()
                        .schedule(bound, () -> fail(answer, name, "no answer within " + bound));
        start(name, call)
                .whenComplete(
                        (value, fault) -> {
                            timeout.cancel();
                            if (fault != null) {
                                answer.completeExceptionally(fault);
                            } else if (value == null) {
                                fail(answer, name, "the answer is null");
                            } else {
                                answer.complete(value);
                            }
                        });
        return answer;
    }

    private <T> CompletionStage<T> start(String name, Supplier<CompletionStage<T>> call) {
        try {
            return Checks.notNull("stage of " + name, call.get());
        } catch (RuntimeException e) {
            supervision.recordFailure(name, e);
            return CompletableFuture.failedFuture(failure.apply(name + ": " + e.getMessage()));
        }
    }

    private void fail(CompletableFuture<?> answer, String name, String why) {
        answer.completeExceptionally(failure.apply(name + ": " + why));
    }
}
