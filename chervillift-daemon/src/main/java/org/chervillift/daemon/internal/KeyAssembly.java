package org.chervillift.daemon.internal;

import java.security.SecureRandom;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.keys.FreshnessRules;
import org.chervillift.core.keys.KeyAuthenticator;
import org.chervillift.core.keys.KeyFreshness;
import org.chervillift.daemon.internal.keys.KeyMembershipService;
import org.chervillift.daemon.internal.keys.KeyOperations;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The parts that check and change keys.
 *
 * @param rules the times that they go by
 * @param freshness whether the ring is fresh enough
 * @param gate whose work a request is
 * @param keeper the place among the processes that may answer a withdrawal
 * @param operations grants and withdrawals
 */
record KeyAssembly(
        FreshnessRules rules,
        KeyFreshness freshness,
        KeyAuthenticator gate,
        KeyMembershipService keeper,
        KeyOperations operations) {

    /** Puts the parts together; without peers nobody can promise anything. */
    static KeyAssembly create(DaemonSettings settings, Platform platform, Scheduler scheduler) {
        FreshnessRules rules =
                settings.peers().hasPeers()
                        ? FreshnessRules.DEFAULT
                        : FreshnessRules.WITHOUT_PROMISES;
        KeyFreshness freshness = new KeyFreshness(settings.vmId(), rules, scheduler.now());
        KeyAuthenticator gate = new KeyAuthenticator(freshness);
        KeyMembershipService keeper =
                new KeyMembershipService(
                        settings.vmId(),
                        settings.dataCentre(),
                        platform,
                        scheduler,
                        freshness,
                        rules,
                        new SecureRandom());
        KeyOperations operations = new KeyOperations(platform, scheduler, freshness, gate);
        return new KeyAssembly(rules, freshness, gate, keeper, operations);
    }
}
