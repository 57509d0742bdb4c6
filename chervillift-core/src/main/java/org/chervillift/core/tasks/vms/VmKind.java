package org.chervillift.core.tasks.vms;

import java.util.List;

/**
 * Identifies the VMs of one pool that can run the same tasks.
 *
 * @param pool the pool
 * @param label the first label, which names the machine type
 * @param hasGpus whether the VMs have GPUs
 */
record VmKind(String pool, String label, boolean hasGpus) {

    static VmKind of(VmView view) {
        List<String> labels = view.vm().labels();
        return new VmKind(
                view.vm().pool(),
                labels.isEmpty() ? "" : labels.getFirst(),
                view.vm().capacity().gpus() > 0);
    }
}
