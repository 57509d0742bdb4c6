package org.chervillift.api.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.tasks.ListedFleetVm;

/** Calls that list the VMs of the fleet and operate on them. */
public interface FleetVms {

    /** Lists all VMs; fails when the platform does not answer well. */
    CompletionStage<List<ListedFleetVm>> list();

    /** Takes a VM to another pool; everything that it runs ends at once. */
    CompletionStage<VmAnswer> move(String vm, String pool, Duty duty);

    /** Maintains a VM; everything that it runs ends at once. */
    CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty);

    /**
     * Who gives an order.
     *
     * @param holder the process
     * @param fence its fencing token
     */
    record Duty(String holder, long fence) {}

    /** What the platform answered to an order for a VM. */
    enum VmAnswer {
        /** The order is carried out, or was before. */
        DONE,
        /** A newer holder gives the orders. */
        FENCED,
        /** The VM is not up, or it leaves. */
        BUSY,
        /** The VM is not part of the wave. */
        NOT_IN_WAVE,
        /** There is no such VM, or the pool does not take it. */
        NOT_POSSIBLE,
        /** Nothing was done; the order may be given again later. */
        NOTHING_DONE,
        /** No answer came; the order may be in force now or later. */
        UNKNOWN
    }
}
