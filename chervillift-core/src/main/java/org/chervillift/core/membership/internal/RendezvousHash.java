package org.chervillift.core.membership.internal;

/** Weights for rendezvous hashing. */
public final class RendezvousHash {

    private static final long MULTIPLIER_A = 0xbf58476d1ce4e5b9L;
    private static final long MULTIPLIER_B = 0x94d049bb133111ebL;
    private static final int SHIFT_A = 30;
    private static final int SHIFT_B = 27;
    private static final int SHIFT_C = 31;

    private RendezvousHash() {}

    /** Returns the hash of a pair of names, which is the same in every process. */
    public static long weight(String node, String key) {
        long z = ((long) node.hashCode() << Integer.SIZE) ^ (key.hashCode() & 0xffffffffL);
        z = (z ^ (z >>> SHIFT_A)) * MULTIPLIER_A;
        z = (z ^ (z >>> SHIFT_B)) * MULTIPLIER_B;
        return z ^ (z >>> SHIFT_C);
    }
}
