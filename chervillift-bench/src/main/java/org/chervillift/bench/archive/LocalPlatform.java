package org.chervillift.bench.archive;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.chervillift.http.ReactorThread;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.tasks.FleetServer;

/** The platform's stand-in, with two workers, on loopback addresses of this process. */
public final class LocalPlatform {

    private static final String HOST = "127.0.0.1";
    private static final Duration RUN_TIME = Duration.ofMillis(100);

    private LocalPlatform() {}

    /**
     * Starts the stand-in.
     *
     * @param address where the store, the VMs and the advice are served
     */
    public static void start(ReactorThread thread, HostPort address) {
        thread.await(
                () -> {
                    FleetServer server = new FleetServer(thread.reactor(), HOST, RUN_TIME);
                    listen(thread, server.routes(), address);
                    List<String> addresses = List.of(FreePorts.address(), FreePorts.address());
                    List<AsyncServlet> workers = server.addWorkers(addresses);
                    for (int i = 0; i < workers.size(); i++) {
                        listen(thread, workers.get(i), HostPort.parse(addresses.get(i)));
                    }
                    return Promise.complete();
                });
    }

    private static void listen(ReactorThread thread, AsyncServlet servlet, HostPort address) {
        try {
            HttpServer.builder(thread.reactor(), servlet)
                    .withListenAddress(address.toSocketAddress())
                    .build()
                    .listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
