package org.chervillift.daemon.tasks;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/** A future that reports what its callbacks throw, which other futures keep to themselves. */
final class RecordingFuture<T> extends CompletableFuture<T> {

    private final Consumer<Throwable> faults;

    RecordingFuture(Consumer<Throwable> faults) {
        this.faults = faults;
    }

    @Override
    public <U> CompletableFuture<U> newIncompleteFuture() {
        return new RecordingFuture<>(faults);
    }

    @Override
    public CompletableFuture<T> whenComplete(BiConsumer<? super T, ? super Throwable> action) {
        return super.whenComplete(
                (value, fault) -> {
                    try {
                        action.accept(value, fault);
                    } catch (RuntimeException e) {
                        faults.accept(e);
                        throw e;
                    }
                });
    }

    @Override
    public <U> CompletableFuture<U> thenApply(Function<? super T, ? extends U> action) {
        return super.thenApply(recorded(action));
    }

    @Override
    public <U> CompletableFuture<U> thenCompose(
            Function<? super T, ? extends CompletionStage<U>> action) {
        return super.thenCompose(recorded(action));
    }

    private <U> Function<T, U> recorded(Function<? super T, ? extends U> action) {
        return value -> {
            try {
                return action.apply(value);
            } catch (RuntimeException e) {
                faults.accept(e);
                throw e;
            }
        };
    }
}
