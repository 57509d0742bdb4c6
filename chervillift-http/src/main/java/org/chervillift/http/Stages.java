package org.chervillift.http;

import io.activej.promise.Promise;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Joins completion stages with promises of the event loop and with futures. */
public final class Stages {

    private Stages() {}

    /** Returns a promise with the result, or with the fault itself and not its wrapper. */
    public static <T> Promise<T> toPromise(CompletionStage<T> stage) {
        return Promise.<T>ofCompletionStage(stage).mapException(Stages::unwrap);
    }

    /** Completes a future as a stage completes. */
    public static <T> void follow(CompletionStage<T> stage, CompletableFuture<T> target) {
        stage.whenComplete(
                (value, fault) -> {
                    if (fault != null) {
                        target.completeExceptionally(fault);
                    } else {
                        target.complete(value);
                    }
                });
    }

    /** Returns the message of a fault itself and not of its wrapper. */
    public static String messageOf(Throwable fault) {
        Throwable cause = fault.getCause() == null ? fault : fault.getCause();
        return String.valueOf(cause.getMessage());
    }

    private static Exception unwrap(Exception fault) {
        boolean wrapped = fault instanceof CompletionException;
        return wrapped && fault.getCause() instanceof Exception cause ? cause : fault;
    }
}
