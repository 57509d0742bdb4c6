package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetVms.Duty;
import org.chervillift.api.platform.FleetVms.VmAnswer;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.core.tasks.vms.VmList;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.chervillift.daemon.tasks.RecentVmOrders.NewOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Sends the VM orders of a round together, and tracks those whose effect is not yet listed. */
final class VmOrderSender {

    private final HolderContext context;
    private final RecentVmOrders recentOrders;
    private final Map<String, TrackedOrder> pendingOrders = new HashMap<>();
    private final List<UnsentOrder> unsentOrders = new ArrayList<>();
    private boolean storingOrders;

    /**
     * An order that has not been sent yet.
     *
     * @param listed the VM as it is listed
     * @param kind the kind of the order
     * @param description the order in words, for the log
     * @param call sends the order
     * @param onDone called when the platform answers that the order is in force
     */
    private record UnsentOrder(
            ListedFleetVm listed,
            PendingOrder kind,
            String description,
            Supplier<CompletionStage<VmAnswer>> call,
            Runnable onDone) {

        String vm() {
            return listed.name();
        }
    }

    /**
     * An order whose effect no list has shown yet.
     *
     * @param kind the kind of the order
     * @param sentAt when the order was sent, in milliseconds
     * @param inForce whether the platform answered that it is in force
     */
    private record TrackedOrder(PendingOrder kind, long sentAt, boolean inForce) {}

    VmOrderSender(HolderContext context, RecentVmOrders recentOrders) {
        this.context = Checks.notNull("context", context);
        this.recentOrders = Checks.notNull("recentOrders", recentOrders);
    }

    /** Returns whether orders may be decided now. */
    boolean mayDecide() {
        return recentOrders.isLoaded() && !storingOrders && context.maySendOrders().getAsBoolean();
    }

    /** Returns the kind of the VM's order that is in progress or not yet listed. */
    PendingOrder openOrder(ListedFleetVm vm) {
        TrackedOrder order = pendingOrders.get(vm.name());
        return order == null ? recentOrders.underWay(vm, context.nowMillis()) : order.kind();
    }

    /** Removes orders whose effect is shown by a list that was requested after they were sent. */
    void removeConfirmed(VmList list) {
        Set<String> up =
                list.vms().stream()
                        .filter(v -> v.status() == Status.UP)
                        .map(ListedFleetVm::name)
                        .collect(Collectors.toSet());
        pendingOrders
                .entrySet()
                .removeIf(
                        e ->
                                e.getValue().inForce()
                                        && e.getValue().sentAt() < list.requestedAt()
                                        && up.contains(e.getKey()));
    }

    void move(ListedFleetVm vm, String to) {
        add(
                vm,
                PendingOrder.MOVE,
                "move from " + vm.pool() + " to " + to,
                () -> context.vms().move(vm.name(), to, dutyToken()),
                () -> {});
    }

    void maintain(ListedFleetVm vm, long wave, Runnable onDone) {
        add(
                vm,
                PendingOrder.MAINTENANCE,
                "maintenance of wave " + wave,
                () -> context.vms().maintain(vm.name(), wave, dutyToken()),
                onDone);
    }

    private Duty dutyToken() {
        return new Duty(context.process(), context.term());
    }

    private void add(
            ListedFleetVm vm,
            PendingOrder kind,
            String description,
            Supplier<CompletionStage<VmAnswer>> call,
            Runnable onDone) {
        pendingOrders.put(vm.name(), new TrackedOrder(kind, context.nowMillis(), false));
        unsentOrders.add(new UnsentOrder(vm, kind, description, call, onDone));
    }

    /** Sends the added orders, once the VMs to be ordered have been stored. */
    void sendAll() {
        if (unsentOrders.isEmpty()) {
            return;
        }
        List<UnsentOrder> orders = List.copyOf(unsentOrders);
        unsentOrders.clear();
        List<NewOrder> recent =
                orders.stream().map(o -> new NewOrder(o.listed(), o.kind())).toList();
        CompletionStage<Boolean> call = recentOrders.store(recent, context.nowMillis());
        storingOrders = true;
        context.supervision()
                .whenAnswered(
                        "VM orders",
                        call,
                        (stored, fault) -> {
                            storingOrders = false;
                            if (fault == null && stored && context.maySendOrders().getAsBoolean()) {
                                orders.forEach(this::send);
                            } else {
                                discard(orders, fault);
                            }
                        },
                        () -> orders.forEach(o -> pendingOrders.remove(o.vm())));
    }

    private void discard(List<UnsentOrder> orders, Throwable fault) {
        EventLog.log(
                TaskEvent.VM_ORDERS_DROPPED,
                Field.of("orders", orders.size()),
                Field.of("term", context.term()),
                Field.of("leaseAgeMillis", context.leaseAgeMillis()),
                Field.of(
                        "why",
                        fault == null
                                ? "the lease may have expired, or storing the orders was slow"
                                : fault.getMessage()));
        orders.forEach(o -> pendingOrders.remove(o.vm()));
    }

    private void send(UnsentOrder order) {
        String vm = order.vm();
        pendingOrders.put(vm, new TrackedOrder(order.kind(), context.nowMillis(), false));
        context.supervision()
                .whenAnswered(
                        "VM order",
                        order.call().get(),
                        (answer, fault) ->
                                onAnswer(order, fault == null ? answer : VmAnswer.UNKNOWN),
                        () -> pendingOrders.remove(vm));
    }

    private void onAnswer(UnsentOrder order, VmAnswer answer) {
        EventLog.log(
                TaskEvent.VM_ORDERED,
                Field.of("vm", order.vm()),
                Field.of("order", order.description()),
                Field.of("term", context.term()),
                Field.of("answer", answer));
        if (answer == VmAnswer.DONE) {
            pendingOrders.put(
                    order.vm(), new TrackedOrder(order.kind(), context.nowMillis(), true));
            order.onDone().run();
        } else {
            pendingOrders.remove(order.vm());
        }
    }
}
