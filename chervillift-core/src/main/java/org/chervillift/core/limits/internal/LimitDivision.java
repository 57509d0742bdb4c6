package org.chervillift.core.limits.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;

/** Divides a limit among holders that together want more than there is. */
public final class LimitDivision {

    /** There is enough for all. */
    public static final int NO_CAP = Integer.MAX_VALUE;

    private static final int DOUBLE_BITS = 53;

    private LimitDivision() {}

    /**
     * Returns the most permits that a holder should have now.
     *
     * <p>Parts are in proportion to what each holder wants. What is left by rounding goes to
     * different holders at different turns, more often to those that want more, so that a limit
     * smaller than the number of holders reaches each of them.
     *
     * @param row the division so far
     * @param holder the holder
     * @param wanted what the holder wants now
     * @param turn changes from time to time, and is about the same for all holders
     */
    public static int cap(TeamRow row, String holder, int wanted, long turn) {
        TeamRow now =
                row.withHolding(holder, new PermitHolding(row.permitsHeldBy(holder), wanted, turn));
        long all = now.holdings().values().stream().mapToLong(h -> h.demandAt(turn)).sum();
        if (all <= row.limit()) {
            return NO_CAP;
        }
        int left = row.limit();
        for (PermitHolding h : now.holdings().values()) {
            left -= proportionalShare(row.limit(), h.demandAt(turn), all);
        }
        int place = shuffledHolders(now, turn).indexOf(holder);
        int part = proportionalShare(row.limit(), wanted, all);
        return wanted > 0 && place < left ? part + 1 : part;
    }

    private static int proportionalShare(int limit, int wanted, long all) {
        return Math.toIntExact((long) limit * wanted / all);
    }

    /** Orders holders at random, the same way at each of them, and by chance of what they want. */
    private static List<String> shuffledHolders(TeamRow row, long turn) {
        return row.holdings().entrySet().stream()
                .filter(e -> e.getValue().demandAt(turn) > 0)
                .sorted(
                        Comparator.comparingDouble(
                                        (Map.Entry<String, PermitHolding> e) -> randomRank(e, turn))
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns an exponential deviate whose rate is what the holder wants. */
    private static double randomRank(Map.Entry<String, PermitHolding> e, long turn) {
        long bits = mix(e.getKey().hashCode(), turn) >>> (Long.SIZE - DOUBLE_BITS);
        double uniform = (bits + 1) * 0x1.0p-53;
        return -StrictMath.log(uniform) / e.getValue().demandAt(turn);
    }

    private static long mix(int hash, long turn) {
        long x = hash * 0x9E3779B97F4A7C15L + turn * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ (x >>> 32)) * 0xD6E8FEB86659FD93L;
        x = (x ^ (x >>> 29)) * 0xBF58476D1CE4E5B9L;
        return x ^ (x >>> 32);
    }
}
