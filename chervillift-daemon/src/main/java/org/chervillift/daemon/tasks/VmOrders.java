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
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Sends the orders for VMs, each round's together, and knows those that have not shown yet. */
final class VmOrders {

    private final HolderContext context;
    private final VmTurns turns;
    private final Map<String, Pending> pending = new HashMap<>();
    private final List<VmOrder> collected = new ArrayList<>();
    private boolean announcing;

    /**
     * An order that is to be sent.
     *
     * @param vm the VM
     * @param kind its kind
     * @param what for the log
     * @param call sends it
     * @param onDone run when the platform says that it is in force
     */
    private record VmOrder(
            String vm,
            PendingOrder kind,
            String what,
            Supplier<CompletionStage<VmAnswer>> call,
            Runnable onDone) {}

    /**
     * An order whose effect the list has not shown yet.
     *
     * @param kind its kind
     * @param sentAt when it was sent
     * @param settled whether its answer said that it is in force
     */
    private record Pending(PendingOrder kind, long sentAt, boolean settled) {}

    VmOrders(HolderContext context, VmTurns turns) {
        this.context = Checks.notNull("context", context);
        this.turns = Checks.notNull("turns", turns);
    }

    /** Returns whether orders may be decided on now. */
    boolean isOpen() {
        return turns.isLoaded() && !announcing && context.maySendOrders().getAsBoolean();
    }

    /** Returns the order for a VM that is under way, or not yet seen in the list. */
    PendingOrder openOrder(String vm) {
        Pending order = pending.get(vm);
        return order == null ? PendingOrder.NONE : order.kind();
    }

    /** Forgets orders whose effect a list shows that was asked for later. */
    void settle(List<ListedFleetVm> listed, long listedAt) {
        Set<String> up =
                listed.stream()
                        .filter(v -> v.status() == Status.UP)
                        .map(ListedFleetVm::name)
                        .collect(Collectors.toSet());
        pending.entrySet()
                .removeIf(
                        e ->
                                e.getValue().settled()
                                        && e.getValue().sentAt() < listedAt
                                        && up.contains(e.getKey()));
    }

    void move(String vm, String from, String to) {
        add(
                vm,
                PendingOrder.MOVE,
                "move from " + from + " to " + to,
                () -> context.vms().move(vm, to, duty()),
                () -> {});
    }

    void maintain(String vm, long wave, Runnable onDone) {
        add(
                vm,
                PendingOrder.MAINTENANCE,
                "maintenance of wave " + wave,
                () -> context.vms().maintain(vm, wave, duty()),
                onDone);
    }

    private Duty duty() {
        return new Duty(context.process(), context.term());
    }

    private void add(
            String vm,
            PendingOrder kind,
            String what,
            Supplier<CompletionStage<VmAnswer>> call,
            Runnable onDone) {
        pending.put(vm, new Pending(kind, context.now(), false));
        collected.add(new VmOrder(vm, kind, what, call, onDone));
    }

    /** Sends what was added, once it is stored which VMs are ordered. */
    void flush() {
        if (collected.isEmpty()) {
            return;
        }
        List<VmOrder> orders = List.copyOf(collected);
        collected.clear();
        announcing = true;
        Set<String> vms = orders.stream().map(VmOrder::vm).collect(Collectors.toSet());
        turns.announce(vms, context.now())
                .whenComplete(
                        (stored, fault) -> {
                            announcing = false;
                            if (fault == null && stored && context.maySendOrders().getAsBoolean()) {
                                orders.forEach(this::send);
                            } else {
                                drop(orders, fault);
                            }
                        });
    }

    private void drop(List<VmOrder> orders, Throwable fault) {
        EventLog.log(
                TaskEvent.VM_ORDERS_DROPPED,
                Field.of("orders", orders.size()),
                Field.of("term", context.term()),
                Field.of("leaseAgeMillis", context.leaseAgeMillis()),
                Field.of(
                        "why",
                        fault == null
                                ? "the lease is over, or the store was slow"
                                : fault.getMessage()));
        orders.forEach(o -> pending.remove(o.vm()));
    }

    private void send(VmOrder order) {
        String vm = order.vm();
        pending.put(vm, new Pending(order.kind(), context.now(), false));
        order.call()
                .get()
                .whenComplete(
                        (answer, fault) -> {
                            VmAnswer known = fault == null ? answer : VmAnswer.UNKNOWN;
                            EventLog.log(
                                    TaskEvent.VM_ORDER,
                                    Field.of("vm", vm),
                                    Field.of("order", order.what()),
                                    Field.of("term", context.term()),
                                    Field.of("answer", known));
                            if (known == VmAnswer.DONE) {
                                pending.put(vm, new Pending(order.kind(), context.now(), true));
                                order.onDone().run();
                            } else {
                                pending.remove(vm);
                            }
                        });
    }
}
