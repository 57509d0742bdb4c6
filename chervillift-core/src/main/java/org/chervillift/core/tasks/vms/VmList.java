package org.chervillift.core.tasks.vms;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;

/**
 * A list of the VMs. It shows what was the case at one moment between its request and its arrival.
 *
 * @param vms the VMs
 * @param requestedAt when it was requested, in milliseconds
 * @param receivedAt when it arrived, in milliseconds
 */
public record VmList(List<ListedFleetVm> vms, long requestedAt, long receivedAt) {

    public VmList {
        vms = List.copyOf(vms);
        Checks.that(requestedAt <= receivedAt, "a list arrives after its request");
    }
}
