package org.chervillift.core.tasks.vms;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.Checks;

/**
 * Tells the VMs that are gone from those that a list has left out.
 *
 * <p>A list has pages, read one after the other, and a VM may be on none of them while it changes.
 * A VM is gone when several lists in a row, over a time, do not show it.
 */
public final class GoneVmDetector {

    private static final int MIN_LISTS = 3;

    private final long minAbsenceMillis;
    private final Map<String, Absence> absences = new HashMap<>();

    /**
     * Since when lists do not show a VM.
     *
     * @param since when the first of these lists was taken in, in milliseconds
     * @param lists how many there were
     */
    private record Absence(long since, int lists) {}

    /**
     * Knows no VM.
     *
     * @param patienceMillis the time that lists must not show a VM for
     */
    public GoneVmDetector(long patienceMillis) {
        Checks.that(patienceMillis >= 0, "patienceMillis must not be negative");
        this.minAbsenceMillis = patienceMillis;
    }

    /**
     * Takes in a list.
     *
     * @param wanted the VMs that are asked for
     * @param listed the VMs that the list shows
     * @return the VMs asked for that are gone
     */
    public Set<String> applyList(Set<String> wanted, Set<String> listed, long now) {
        absences.keySet().retainAll(wanted);
        absences.keySet().removeAll(listed);
        Set<String> gone = new HashSet<>();
        for (String vm : wanted) {
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
