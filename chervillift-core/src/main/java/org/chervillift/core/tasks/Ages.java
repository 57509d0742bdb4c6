package org.chervillift.core.tasks;

import java.util.OptionalLong;

/** Calculates how long ago something happened last, if it ever has. */
public final class Ages {

    private Ages() {}

    /** Returns the time from a moment until now, in milliseconds, or empty if it never came. */
    public static OptionalLong since(OptionalLong moment, long now) {
        return moment.isPresent()
                ? OptionalLong.of(now - moment.getAsLong())
                : OptionalLong.empty();
    }
}
