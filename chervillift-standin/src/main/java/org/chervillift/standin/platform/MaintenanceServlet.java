package org.chervillift.standin.platform;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.http.Answers;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.platform.protocol.MaintenanceRequest;
import org.chervillift.platform.protocol.MaintenanceResponse;
import org.chervillift.platform.protocol.VmStatusRequest;
import org.chervillift.platform.protocol.VmStatusResponse;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.Scheduler;

/** Passes maintenance operations on to the VMs, and shows draining VMs as leaving. */
final class MaintenanceServlet {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final NioReactor reactor;
    private final Scheduler scheduler;
    private final LaggingList list;
    private final Map<String, JsonClient> clients = new HashMap<>();

    MaintenanceServlet(NioReactor reactor, Scheduler scheduler, LaggingList list) {
        this.reactor = reactor;
        this.scheduler = scheduler;
        this.list = list;
    }

    /** Adds the routes, each behind the faults of the platform. */
    void addTo(RoutingServlet.Builder routes, Gate gate) {
        routes.with(
                        HttpMethod.POST,
                        "/v1/maintenance/drain",
                        r -> gate.pass(() -> operate(r, "drain", true)))
                .with(
                        HttpMethod.POST,
                        "/v1/maintenance/reboot",
                        r -> gate.pass(() -> operate(r, "reboot", true)))
                .with(
                        HttpMethod.POST,
                        "/v1/maintenance/restore",
                        r -> gate.pass(() -> operate(r, "restore", false)))
                .with(HttpMethod.POST, "/v1/maintenance/status", r -> gate.pass(() -> status(r)));
    }

    /** Lets a call through unless a fault of the platform stops it. */
    @FunctionalInterface
    interface Gate {
        Promise<HttpResponse> pass(Supplier<Promise<HttpResponse>> call);
    }

    private Promise<HttpResponse> operate(HttpRequest request, String operation, boolean leaving) {
        return request.loadBody()
                .map(b -> b.getString(StandardCharsets.UTF_8))
                .map(t -> Json.decode(t, MaintenanceRequest.class))
                .then(r -> forward(r, operation, leaving));
    }

    private Promise<HttpResponse> forward(
            MaintenanceRequest request, String operation, boolean leaving) {
        ListedVm vm =
                list.current(request.vm())
                        .orElseThrow(
                                () ->
                                        new ChervilliftException(
                                                ErrorCode.NOT_FOUND, "VM " + request.vm() + "."));
        return client(vm)
                .send(HttpMethod.POST, "/admin/" + operation, Optional.of(Json.encode(request)))
                .map(a -> Json.decode(a.body(), MaintenanceResponse.class))
                .whenResult(a -> show(vm, a.accepted(), leaving))
                .then(a -> Answers.json(a));
    }

    private void show(ListedVm vm, boolean accepted, boolean leaving) {
        if (accepted && vm.leaving() != leaving) {
            list.put(vm.withLeaving(leaving), scheduler.now());
        }
    }

    private Promise<HttpResponse> status(HttpRequest request) {
        return request.loadBody()
                .map(b -> b.getString(StandardCharsets.UTF_8))
                .map(t -> Json.decode(t, VmStatusRequest.class))
                .then(r -> Promises.toList(r.vms().stream().map(this::askOne)))
                .then(
                        answers -> {
                            List<VmStatus> found =
                                    answers.stream().filter(Objects::nonNull).toList();
                            return Answers.json(new VmStatusResponse(found));
                        });
    }

    /** Returns the VM's own answer, or null where there is none. */
    private Promise<VmStatus> askOne(String id) {
        Optional<ListedVm> vm = list.current(id);
        if (vm.isEmpty()) {
            return Promise.of(null);
        }
        return client(vm.get())
                .send(HttpMethod.GET, "/admin/status")
                .map(MaintenanceServlet::decode)
                .then((status, fault) -> Promise.of(fault == null ? status : null));
    }

    private static VmStatus decode(HttpAnswer answer) {
        return answer.isSuccess() ? Json.decode(answer.body(), VmStatus.class) : null;
    }

    private JsonClient client(ListedVm vm) {
        return clients.computeIfAbsent(
                vm.address(),
                a -> new JsonClient(reactor, HostPort.parse(a), TIMEOUT, Optional.empty()));
    }
}
