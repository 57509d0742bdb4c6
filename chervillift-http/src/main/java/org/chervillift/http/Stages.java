package org.chervillift.http;

import io.activej.promise.Promise;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/** Turns completion stages into promises of the event loop. */
public final class Stages {

    private Stages() {}

    /** Returns a promise with the result, or with the fault itself and not its wrapper. */
    public static <T> Promise<T> toPromise(CompletionStage<T> stage) {
        return Promise.<T>ofCompletionStage(stage).mapException(Stages::unwrap);
    }

    private static Exception unwrap(Exception fault) {
        boolean wrapped = fault instanceof CompletionException;
        return wrapped && fault.getCause() instanceof Exception cause ? cause : fault;
    }
}
