package org.chervillift.core.membership;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * What one process tells another of a third.
 *
 * @param node the third
 * @param state what is known of its life
 * @param versions what it holds
 * @param heardAge how long ago it certainly lived
 */
public record MemberSummary(
        NodeIdentity node, MemberState state, Versions versions, Duration heardAge) {
    public MemberSummary {
        Checks.notNull("node", node);
        Checks.notNull("state", state);
        Checks.notNull("versions", versions);
        Checks.that(!heardAge.isNegative(), "heardAge must not be negative");
    }
}
