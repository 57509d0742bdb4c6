package org.chervillift.core.tasks.vms;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.core.tasks.PoolLoad;

/**
 * Keeps one VM in service in each pool whose tasks wait, although maintenance waves would drain it.
 *
 * <p>Addresses a surge of other pools during a wave. A pool whose last VM is drained gets no other
 * one while VMs are scarce, and a long-running task on that VM cannot move without one. The tasks
 * that wait would then stand still for as long as the surge lasts, beside a VM with room.
 */
public final class DrainReserve {

    private DrainReserve() {}

    /**
     * Returns the VMs that accept tasks for now. A wave whose deadline is at risk is not held up:
     * its VMs are not to be named as deferrable.
     *
     * @param vms all VMs
     * @param loads the load of the pools by name
     * @param leaving the names of the VMs that waves drain or maintain
     * @param deferrable those of them that may be drained later
     */
    public static Set<String> vmsToKeep(
            Collection<VmView> vms,
            Map<String, PoolLoad> loads,
            Set<String> leaving,
            Set<String> deferrable) {
        Map<String, List<VmView>> usableByPool =
                vms.stream()
                        .filter(v -> v.isUpWithoutOrder() && !v.isUnavailable())
                        .collect(Collectors.groupingBy(v -> v.vm().pool()));
        Set<String> kept = new HashSet<>();
        loads.forEach(
                (pool, load) -> {
                    List<VmView> usable = usableByPool.getOrDefault(pool, List.of());
                    boolean allLeave =
                            usable.stream().allMatch(v -> leaving.contains(v.vm().name()));
                    if (load.isShortOfCapacity() && allLeave) {
                        usable.stream()
                                .filter(v -> deferrable.contains(v.vm().name()))
                                .max(
                                        Comparator.comparingLong(DrainReserve::freeMilliCores)
                                                .thenComparing(v -> v.vm().name()))
                                .ifPresent(v -> kept.add(v.vm().name()));
                    }
                });
        return kept;
    }

    private static long freeMilliCores(VmView view) {
        return view.vm().capacity().milliCores() - view.load().usedMilliCores();
    }
}
