package org.chervillift.core.membership;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * What one process reports to another about a third.
 *
 * @param node the member that it is about
 * @param state whether it is believed to be running
 * @param versions the versions that it holds
 * @param heardAge how long ago it was certainly running
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
