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
 * The components that authenticate requests by key and that grant and withdraw keys.
 *
 * @param rules the durations for freshness and promises
 * @param freshness decides whether the key ring is fresh enough
 * @param authenticator finds the team of a request by its key
 * @param membershipKeeper keeps this process registered among those that may acknowledge a
 *     withdrawal
 * @param operations grants and withdraws keys
 */
record KeyComponents(
        FreshnessRules rules,
        KeyFreshness freshness,
        KeyAuthenticator authenticator,
        KeyMembershipService membershipKeeper,
        KeyOperations operations) {

    /** Creates the components; without peers no process can give promises, so none are used. */
    static KeyComponents create(DaemonSettings settings, Platform platform, Scheduler scheduler) {
        FreshnessRules rules =
                settings.peers().hasPeers()
                        ? FreshnessRules.DEFAULT
                        : FreshnessRules.WITHOUT_PROMISES;
        KeyFreshness freshness = new KeyFreshness(settings.vmId(), rules, scheduler.now());
        KeyAuthenticator authenticator = new KeyAuthenticator(freshness);
        KeyMembershipService membershipKeeper =
                new KeyMembershipService(
                        settings.vmId(),
                        settings.dataCentre(),
                        platform,
                        scheduler,
                        freshness,
                        rules,
                        new SecureRandom());
        KeyOperations operations = new KeyOperations(platform, scheduler, freshness, authenticator);
        return new KeyComponents(rules, freshness, authenticator, membershipKeeper, operations);
    }
}
