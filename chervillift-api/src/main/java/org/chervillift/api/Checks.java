package org.chervillift.api;

import java.util.Objects;

/** Argument checks that every constructor and public method uses. */
public final class Checks {

    private Checks() {}

    /**
     * Returns the value unless it is null or blank.
     *
     * @throws IllegalArgumentException if the value is null or blank
     */
    public static String notBlank(String name, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return value;
    }

    /**
     * Returns the value unless it is null.
     *
     * @throws NullPointerException if the value is null
     */
    public static <T> T notNull(String name, T value) {
        return Objects.requireNonNull(value, name);
    }

    /**
     * Returns the value unless it is outside the closed range.
     *
     * @throws IllegalArgumentException if the value is below {@code least} or above {@code most}
     */
    public static long inRange(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    name + " must be from " + least + " to " + most + ", is " + value);
        }
        return value;
    }

    /**
     * Returns the value unless it is negative.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public static long notNegative(String name, long value) {
        return inRange(name, value, 0, Long.MAX_VALUE);
    }

    /**
     * Fails unless the condition holds.
     *
     * @throws IllegalArgumentException if the condition does not hold
     */
    public static void that(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
