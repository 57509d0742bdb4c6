package org.chervillift.core.tasks.vms;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.core.tasks.WorkerLoad;

/**
 * A VM with the load of its worker and its pending order.
 *
 * @param vm the VM as listed
 * @param load the load of its worker
 * @param pendingOrder the order for the VM whose effect the list does not show yet
 * @param evacuated whether no task may be started on the VM, since its data centre is evacuated
 */
public record VmView(
        ListedFleetVm vm, WorkerLoad load, PendingOrder pendingOrder, boolean evacuated) {
    public VmView {
        Checks.notNull("vm", vm);
        Checks.notNull("load", load);
        Checks.notNull("pendingOrder", pendingOrder);
    }

    /** Creates the view of a VM whose data centre is not evacuated. */
    public VmView(ListedFleetVm vm, WorkerLoad load, PendingOrder pendingOrder) {
        this(vm, load, pendingOrder, false);
    }

    /** A worker that is unreachable for longer may be cut off from the network for seconds. */
    private static final long MAX_UNREACHABLE_MILLIS = 500;

    /** An order for a VM whose effect the list does not show yet. */
    public enum PendingOrder {
        /** No order is pending. */
        NONE,
        /** The VM is ordered to move to another pool. */
        MOVE,
        /** Maintenance of the VM is ordered. */
        MAINTENANCE
    }

    /**
     * Returns whether the VM does not serve its pool, and is unlikely to within the time that
     * moving another VM takes, or may not since its data centre is evacuated.
     */
    public boolean isUnavailable() {
        boolean unreachable = load.unreachableMillis() >= MAX_UNREACHABLE_MILLIS;
        return evacuated
                || vm.status() == ListedFleetVm.Status.DOWN
                || (unreachable && isUpWithoutOrder());
    }

    /** Returns whether the VM is up and no order for it is pending. */
    public boolean isUpWithoutOrder() {
        return vm.status() == ListedFleetVm.Status.UP && pendingOrder == PendingOrder.NONE;
    }
}
