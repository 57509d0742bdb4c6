package org.chervillift.core.tasks.vms;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;

/**
 * Detects which VMs are gone, as opposed to missing from a single list.
 *
 * <p>A list is read page by page, and a VM that changes meanwhile may be on none of the pages. A VM
 * counts as gone when several consecutive lists over a minimum time do not contain it.
 */
public final class GoneVmDetector {

    private static final int MIN_LISTS = 3;

    private final long minAbsenceMillis;
    private final Map<String, Absence> absences = new HashMap<>();

    /**
     * The absence of a VM from consecutive lists.
     *
     * @param since when the first of these lists arrived, in milliseconds
     * @param lists the number of these lists
     */
    private record Absence(long since, int lists) {}

    /**
     * Creates a detector.
     *
     * @param minAbsenceMillis the time for which a VM must be missing from lists to count as gone
     */
    public GoneVmDetector(long minAbsenceMillis) {
        Checks.that(minAbsenceMillis >= 0, "minAbsenceMillis must not be negative");
        this.minAbsenceMillis = minAbsenceMillis;
    }

    /**
     * Applies a list.
     *
     * @param watched the VMs to watch
     * @return the watched VMs that are gone
     */
    public Set<String> applyList(Set<String> watched, VmList list) {
        Set<String> listed =
                list.vms().stream().map(ListedFleetVm::name).collect(Collectors.toSet());
        absences.keySet().retainAll(watched);
        absences.keySet().removeAll(listed);
        Set<String> gone = new HashSet<>();
        for (String vm : watched) {
            if (listed.contains(vm)) {
                continue;
            }
            Absence absence =
                    absences.merge(
                            vm,
                            new Absence(list.receivedAt(), 1),
                            (known, first) -> new Absence(known.since(), known.lists() + 1));
            long surelyAbsentMillis = list.requestedAt() - absence.since();
            if (absence.lists() >= MIN_LISTS && surelyAbsentMillis >= minAbsenceMillis) {
                gone.add(vm);
            }
        }
        return gone;
    }
}
