package org.chervillift.core.tasks.vms;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.core.tasks.WorkerLoad;

/**
 * A VM with the load of its worker.
 *
 * @param vm the VM as listed
 * @param load what its worker runs
 * @param pendingOrder the order for it that is under way, or not yet seen in the list
 */
public record VmView(ListedFleetVm vm, WorkerLoad load, PendingOrder pendingOrder) {
    public VmView {
        Checks.notNull("vm", vm);
        Checks.notNull("load", load);
        Checks.notNull("order", pendingOrder);
    }

    /** A worker that answers no call for longer may be cut off for seconds. */
    private static final long MAX_UNREACHABLE_MILLIS = 500;

    /** An order for a VM whose effect is not seen yet. */
    public enum PendingOrder {
        /** There is none. */
        NONE,
        /** It is to go to another pool. */
        MOVE,
        /** It is to be maintained. */
        MAINTENANCE
    }

    /** Returns whether it does nothing for its pool, nor will after the time that a move takes. */
    public boolean isUnavailable() {
        boolean silent = load.unreachableMillis() >= MAX_UNREACHABLE_MILLIS;
        return vm.status() == ListedFleetVm.Status.DOWN || (silent && isUpWithoutOrder());
    }

    /** Returns whether the VM is up and no order for it is under way. */
    public boolean isUpWithoutOrder() {
        return vm.status() == ListedFleetVm.Status.UP && pendingOrder == PendingOrder.NONE;
    }
}
