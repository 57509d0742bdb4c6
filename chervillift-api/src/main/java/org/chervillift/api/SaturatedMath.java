package org.chervillift.api;

/**
 * Calculates with amounts that are not negative; a result beyond the largest number is that number.
 *
 * <p>Callers choose the amounts, so a sum of them may be larger than any number that fits.
 */
public final class SaturatedMath {

    private SaturatedMath() {}

    /** Returns the sum of two amounts. */
    public static long add(long a, long b) {
        return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
    }

    /** Returns the product of two amounts. */
    public static long multiply(long a, long b) {
        return b != 0 && a > Long.MAX_VALUE / b ? Long.MAX_VALUE : a * b;
    }
}
