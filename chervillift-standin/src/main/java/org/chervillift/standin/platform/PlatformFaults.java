package org.chervillift.standin.platform;

import org.chervillift.api.Checks;

/**
 * What is wrong with the platform now.
 *
 * @param down answers nothing but 503
 * @param slowMillis waits so long before each answer
 * @param loseReplies carries writes out, and then answers nothing
 * @param listLagMillis the list shows the VMs as they were so long ago
 */
public record PlatformFaults(
        boolean down, long slowMillis, boolean loseReplies, long listLagMillis) {

    /** Nothing is wrong. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, false, 0);

    public PlatformFaults {
        Checks.notNegative("slowMillis", slowMillis);
        Checks.notNegative("listLagMillis", listLagMillis);
    }
}
