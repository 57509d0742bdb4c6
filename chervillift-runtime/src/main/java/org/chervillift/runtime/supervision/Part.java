package org.chervillift.runtime.supervision;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** A part of a process that can be started and stopped, more than once. */
public interface Part {

    /** Returns the name that events carry. */
    String name();

    /**
     * Starts the part.
     *
     * @param onFailure told once if the part fails after its start; it is then stopped and started
     *     again
     */
    CompletionStage<Void> start(Consumer<Throwable> onFailure);

    /** Stops the part without cutting work that it has taken. */
    CompletionStage<Void> stop();
}
