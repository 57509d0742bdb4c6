package org.chervillift.http;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** An event loop on a thread of its own, for programs that wait for one answer at a time. */
public final class ReactorThread implements AutoCloseable {

    private static final long MOST_WAIT_SECONDS = 60;

    private final Eventloop eventloop;
    private final Thread thread;

    /** Starts the event loop. */
    public ReactorThread(String name) {
        eventloop = Reactors.create(name, Throwable::printStackTrace);
        eventloop.keepAlive(true);
        thread = new Thread(eventloop, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the event loop. */
    public Eventloop reactor() {
        return eventloop;
    }

    /**
     * Runs a step on the event loop and waits for its result.
     *
     * @throws ChervilliftException if the step fails or does not end in time
     */
    public <T> T await(Supplier<Promise<T>> step) {
        CompletableFuture<T> future = new CompletableFuture<>();
        eventloop.execute(
                () ->
                        step.get()
                                .subscribe(
                                        (value, fault) -> {
                                            if (fault == null) {
                                                future.complete(value);
                                            } else {
                                                future.completeExceptionally(fault);
                                            }
                                        }));
        return join(future);
    }

    private static <T> T join(CompletableFuture<T> future) {
        try {
            return future.orTimeout(MOST_WAIT_SECONDS, TimeUnit.SECONDS).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof ChervilliftException c) {
                throw c;
            }
            String detail =
                    e.getCause() instanceof TimeoutException
                            ? "No answer within " + MOST_WAIT_SECONDS + " s."
                            : String.valueOf(e.getCause().getMessage());
            throw new ChervilliftException(ErrorCode.INTERNAL, detail, e.getCause());
        }
    }

    @Override
    public void close() {
        eventloop.execute(
                () -> {
                    eventloop.keepAlive(false);
                    eventloop.breakEventloop();
                });
    }
}
