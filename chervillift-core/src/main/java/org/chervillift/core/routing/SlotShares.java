package org.chervillift.core.routing;

import java.util.Comparator;
import java.util.List;
import org.chervillift.api.Checks;

/**
 * Divides the slots of each upstream among the entry VMs of its data centre.
 *
 * <p>Every entry VM computes the same division from the same list, without communication. The
 * shares of one upstream add up to its slots.
 */
public final class SlotShares {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;
    private static final int SHIFT_1 = 30;
    private static final int SHIFT_2 = 27;
    private static final int SHIFT_3 = 31;

    private SlotShares() {}

    /**
     * Returns the share of one entry VM.
     *
     * @param upstream the upstream whose slots are divided
     * @param total the number of slots or connections to divide
     * @param entryVm the entry VM whose share is returned
     * @param entryVms the live entry VMs of the data centre
     * @return the share; 0 if the entry VM is not in the list
     */
    public static int share(String upstream, int total, String entryVm, List<String> entryVms) {
        Checks.notNegative("total", total);
        List<String> order =
                entryVms.stream()
                        .distinct()
                        .sorted(
                                Comparator.<String>comparingLong(vm -> mix(upstream, vm))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        int position = order.indexOf(entryVm);
        if (position < 0) {
            return 0;
        }
        int quotient = total / order.size();
        return position < total % order.size() ? quotient + 1 : quotient;
    }

    private static long mix(String a, String b) {
        long hash = FNV_OFFSET;
        hash = addChars(hash, a);
        hash = (hash ^ '/') * FNV_PRIME;
        hash = addChars(hash, b);
        hash = (hash ^ (hash >>> SHIFT_1)) * MIX_1;
        hash = (hash ^ (hash >>> SHIFT_2)) * MIX_2;
        return hash ^ (hash >>> SHIFT_3);
    }

    private static long addChars(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
