package org.chervillift.api.fleet;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * The state of a VM as it reports itself.
 *
 * @param vm the VM
 * @param accepting whether it takes new work
 * @param running how many requests and tasks run on it
 * @param runningNames some of what runs on it, for the operator
 * @param fence the greatest fence that it has seen
 * @param rebootFence the fence of its last reboot that has ended, or 0
 */
public record VmStatus(
        String vm,
        boolean accepting,
        int running,
        List<String> runningNames,
        long fence,
        long rebootFence) {
    public VmStatus {
        Checks.notBlank("vm", vm);
        Checks.notNegative("running", running);
        runningNames = List.copyOf(runningNames);
    }
}
