package org.chervillift.core.config;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;

/** The decision on a request to apply a configuration sheet. */
public sealed interface ApplyDecision {

    /**
     * The content has to be written as the next version.
     *
     * @param next the content at its new version
     * @param digest the digest of the content
     * @param changes the differences from the current version
     */
    record Write(FleetConfig next, String digest, List<ConfigChange> changes)
            implements ApplyDecision {
        public Write {
            Checks.notNull("next", next);
            Checks.notBlank("digest", digest);
            changes = List.copyOf(changes);
        }
    }

    /**
     * The content is already the current version, so nothing is written.
     *
     * @param head the current version
     */
    record AlreadyCurrent(ConfigHead head) implements ApplyDecision {
        public AlreadyCurrent {
            Checks.notNull("head", head);
        }
    }

    /**
     * The same change was applied before, and a later version has superseded it.
     *
     * @param applied the version with which the change was applied
     * @param current the current version
     */
    record Superseded(ConfigHead applied, ConfigHead current) implements ApplyDecision {
        public Superseded {
            Checks.notNull("applied", applied);
            Checks.notNull("current", current);
        }
    }

    /**
     * The configuration was changed after the plan was made.
     *
     * @param baseVersion the version that the plan is based on
     * @param current the current version
     * @param changesSince the changes between the two versions
     */
    record BaseStale(long baseVersion, ConfigHead current, List<ConfigChange> changesSince)
            implements ApplyDecision {
        public BaseStale {
            Checks.notNull("current", current);
            changesSince = List.copyOf(changesSince);
        }
    }

    /**
     * The plan names a version that does not exist.
     *
     * @param baseVersion the version that the plan is based on
     * @param current the current version
     */
    record BaseUnknown(long baseVersion, ConfigHead current) implements ApplyDecision {
        public BaseUnknown {
            Checks.notNull("current", current);
        }
    }

    /**
     * The change needs confirmation words that the operator has not given.
     *
     * @param missing the missing confirmations
     */
    record ConfirmationRequired(List<Confirmation> missing) implements ApplyDecision {
        public ConfirmationRequired {
            missing = List.copyOf(missing);
            Checks.that(!missing.isEmpty(), "missing must not be empty");
        }
    }
}
