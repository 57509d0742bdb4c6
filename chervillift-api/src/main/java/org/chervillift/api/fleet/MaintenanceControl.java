package org.chervillift.api.fleet;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.PlatformException;

/**
 * The platform's operations on single VMs.
 *
 * <p>Each operation carries the epoch of the VM's row as its fence. The platform refuses a fence
 * that is lower than the greatest it has seen for the VM, so that a call that comes late does no
 * harm. The same operation with the same fence has one effect. Each stage fails with {@link
 * PlatformException} when the platform is down, slow or cut off.
 */
public interface MaintenanceControl {

    /** Tells a VM to take no new work; returns false if the fence was refused. */
    CompletionStage<Boolean> drain(String vm, long fence);

    /** Reboots a VM, which takes no work after it; returns false if the fence was refused. */
    CompletionStage<Boolean> reboot(String vm, long fence);

    /** Lets a VM take work again; returns false if the fence was refused. */
    CompletionStage<Boolean> restore(String vm, long fence);

    /** Reads the state of VMs; a VM that does not answer is left out. */
    CompletionStage<List<VmStatus>> status(List<String> vms);
}
