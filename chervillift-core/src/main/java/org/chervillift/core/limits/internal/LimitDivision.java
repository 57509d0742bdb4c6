package org.chervillift.core.limits.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;

/** Divides a limit among holders whose total demand exceeds it. */
public final class LimitDivision {

    /** The cap if the limit covers the total demand. */
    public static final int NO_CAP = Integer.MAX_VALUE;

    private static final int DOUBLE_BITS = 53;

    private LimitDivision() {}

    /**
     * Returns the maximum number of permits that a holder should have now.
     *
     * <p>Shares are proportional to demand. The permits left by rounding down go to different
     * holders in different turns, more often to those with more demand, so that each holder gets
     * permits in some turn even if the limit is smaller than the number of holders.
     *
     * @param row the current division
     * @param holder the holder
     * @param wanted the current demand of the holder
     * @param turn the current turn, about the same for all holders (see {@link PermitHolding#turn})
     */
    public static int cap(TeamRow row, String holder, int wanted, long turn) {
        TeamRow current =
                row.withHolding(holder, new PermitHolding(row.permitsHeldBy(holder), wanted, turn));
        long totalDemand =
                current.holdings().values().stream().mapToLong(h -> h.demandAt(turn)).sum();
        if (totalDemand <= row.limit()) {
            return NO_CAP;
        }
        int remainder = row.limit();
        for (PermitHolding h : current.holdings().values()) {
            remainder -= proportionalShare(row.limit(), h.demandAt(turn), totalDemand);
        }
        int position = shuffledHolders(current, turn).indexOf(holder);
        int share = proportionalShare(row.limit(), wanted, totalDemand);
        return wanted > 0 && position < remainder ? share + 1 : share;
    }

    private static int proportionalShare(int limit, int wanted, long totalDemand) {
        return Math.toIntExact((long) limit * wanted / totalDemand);
    }

    /** Returns the holders in a weighted random order that every process computes alike. */
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

    /** Returns an exponentially distributed value whose rate is the demand of the holder. */
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
