package org.chervillift.daemon.internal;

import io.activej.http.HttpServer;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Static methods that start and stop HTTP servers. */
final class HttpServers {

    private HttpServers() {}

    /** Starts listening; the stage fails if the address cannot be bound. */
    static CompletionStage<Void> listen(HttpServer server) {
        try {
            server.listen();
            return CompletableFuture.completedFuture(null);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Stops a server after its running requests have ended. */
    static CompletionStage<Void> close(HttpServer server) {
        return server.close().toVoid().toCompletableFuture();
    }
}
