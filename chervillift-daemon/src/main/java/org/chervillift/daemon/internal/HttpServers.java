package org.chervillift.daemon.internal;

import io.activej.http.HttpServer;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Starts and stops HTTP servers. */
final class HttpServers {

    private HttpServers() {}

    /** Lets a server listen; fails when its address cannot be had. */
    static CompletionStage<Void> listen(HttpServer server) {
        try {
            server.listen();
            return CompletableFuture.completedFuture(null);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Stops a server after the requests that it serves. */
    static CompletionStage<Void> close(HttpServer server) {
        return server.close().toVoid().toCompletableFuture();
    }
}
