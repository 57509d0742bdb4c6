package org.chervillift.core.tasks.vms;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.Checks;

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
     * @param since when the first of these lists was applied, in milliseconds
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
     * @param listed the VMs that the list contains
     * @return the watched VMs that are gone
     */
    public Set<String> applyList(Set<String> watched, Set<String> listed, long now) {
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
                            new Absence(now, 1),
                            (known, first) -> new Absence(known.since(), known.lists() + 1));
            if (absence.lists() >= MIN_LISTS && now - absence.since() >= minAbsenceMillis) {
                gone.add(vm);
            }
        }
        return gone;
    }
}
