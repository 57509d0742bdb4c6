package org.chervillift.standin.upstream;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.http.Answers;
import org.chervillift.http.Json;
import org.chervillift.platform.protocol.MaintenanceRequest;
import org.chervillift.platform.protocol.MaintenanceResponse;

/** The maintenance operations of an upstream: it refuses work, and is away while it reboots. */
final class UpstreamMaintenance {

    private static final Duration REBOOT_TIME = Duration.ofSeconds(2);
    private static final int AWAY = 503;

    private final String id;
    private final IntSupplier running;
    private final Supplier<Instant> clock;
    private final RunLedger ledger;
    private boolean accepting = true;
    private long fence;
    private long rebootFence;
    private long cut;
    private Instant backAt = Instant.EPOCH;

    UpstreamMaintenance(String id, IntSupplier running, Supplier<Instant> clock, RunLedger ledger) {
        this.ledger = ledger;
        this.id = Checks.notBlank("id", id);
        this.running = running;
        this.clock = clock;
    }

    void addTo(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.POST, "/admin/drain", r -> operate(r, this::drain))
                .with(HttpMethod.POST, "/admin/reboot", r -> operate(r, this::reboot))
                .with(HttpMethod.POST, "/admin/restore", r -> operate(r, this::restore))
                .with(HttpMethod.GET, "/admin/status", r -> status());
    }

    boolean takesWork() {
        return accepting && isBack();
    }

    /** Returns how many requests were running when it was rebooted. */
    long cut() {
        return cut;
    }

    private boolean isBack() {
        return !clock.get().isBefore(backAt);
    }

    /** Carries out an operation of a request whose fence is not too low. */
    @FunctionalInterface
    private interface Operation {
        boolean apply(long newFence);
    }

    private Promise<HttpResponse> operate(HttpRequest request, Operation operation) {
        return request.loadBody()
                .map(b -> b.getString(StandardCharsets.UTF_8))
                .map(t -> Json.decode(t, MaintenanceRequest.class))
                .then(r -> Answers.json(new MaintenanceResponse(pass(r.fence(), operation))));
    }

    private boolean pass(long newFence, Operation operation) {
        if (newFence < fence) {
            return false;
        }
        fence = newFence;
        return operation.apply(newFence);
    }

    private boolean drain(long newFence) {
        setAccepting(false);
        return true;
    }

    private void setAccepting(boolean now) {
        accepting = now;
        ledger.setAway(id, !now);
    }

    private boolean reboot(long newFence) {
        if (rebootFence != newFence) {
            rebootFence = newFence;
            cut += running.getAsInt();
            setAccepting(false);
            ledger.noteReboot(id);
            backAt = clock.get().plus(REBOOT_TIME);
        }
        return true;
    }

    private boolean restore(long newFence) {
        setAccepting(isBack());
        return accepting;
    }

    private Promise<HttpResponse> status() {
        if (!isBack()) {
            return Answers.text(AWAY, "rebooting");
        }
        int count = running.getAsInt();
        List<String> names = count == 0 ? List.of() : List.of(count + " requests");
        return Answers.json(new VmStatus(id, accepting, count, names, fence, rebootFence));
    }
}
