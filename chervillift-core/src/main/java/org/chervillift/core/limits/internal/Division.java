package org.chervillift.core.limits.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.chervillift.core.limits.Holding;
import org.chervillift.core.limits.TeamRow;

/** Divides a limit among holders that together want more than there is. */
public final class Division {

    /** There is enough for all. */
    public static final int NO_CAP = Integer.MAX_VALUE;

    private Division() {}

    /**
     * Returns the most permits that a holder should have now.
     *
     * <p>Parts are in proportion to what each holder wants. What is left by rounding goes to
     * different holders at different turns, so that a limit smaller than the number of holders
     * reaches each of them.
     *
     * @param row the division so far
     * @param holder the holder
     * @param wanted what the holder wants now
     * @param turn changes from time to time, and is about the same for all holders
     */
    public static int cap(TeamRow row, String holder, int wanted, long turn) {
        TeamRow now = row.with(holder, new Holding(row.permitsOf(holder), wanted, turn));
        long all = now.holdings().values().stream().mapToLong(h -> h.wantedAt(turn)).sum();
        if (all <= row.limit()) {
            return NO_CAP;
        }
        int left = row.limit();
        for (Holding h : now.holdings().values()) {
            left -= floor(row.limit(), h.wantedAt(turn), all);
        }
        int place = orderedByTurn(now, turn).indexOf(holder);
        int part = floor(row.limit(), wanted, all);
        return wanted > 0 && place < left ? part + 1 : part;
    }

    private static int floor(int limit, int wanted, long all) {
        return Math.toIntExact((long) limit * wanted / all);
    }

    private static List<String> orderedByTurn(TeamRow row, long turn) {
        return row.holdings().entrySet().stream()
                .filter(e -> e.getValue().wantedAt(turn) > 0)
                .map(Map.Entry::getKey)
                .sorted(
                        Comparator.comparingLong((String h) -> mix(h.hashCode(), turn))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long mix(int hash, long turn) {
        long x = hash * 0x9E3779B97F4A7C15L + turn * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ (x >>> 32)) * 0xD6E8FEB86659FD93L;
        return x ^ (x >>> 32);
    }
}
