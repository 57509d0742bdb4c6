package org.chervillift.core.config;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;

/** What is to be done with a wish to apply a sheet. */
public sealed interface ApplyDecision {

    /**
     * The content is to be written as the next version.
     *
     * @param next the content at its new version
     * @param digest the digest of the content
     * @param changes what it changes
     */
    record Write(FleetConfig next, String digest, List<Change> changes) implements ApplyDecision {
        public Write {
            Checks.notNull("next", next);
            Checks.notBlank("digest", digest);
            changes = List.copyOf(changes);
        }
    }

    /**
     * The content is in force already, so nothing is written.
     *
     * @param head the version in force
     */
    record AlreadyInForce(ConfigHead head) implements ApplyDecision {
        public AlreadyInForce {
            Checks.notNull("head", head);
        }
    }

    /**
     * The same change took effect before, and a later version has replaced it.
     *
     * @param applied the version that the change got
     * @param current the version in force
     */
    record Replaced(ConfigHead applied, ConfigHead current) implements ApplyDecision {
        public Replaced {
            Checks.notNull("applied", applied);
            Checks.notNull("current", current);
        }
    }

    /**
     * Somebody changed the configuration after the plan was made.
     *
     * @param baseVersion the version of the plan
     * @param current the version in force
     * @param changesSince what changed in between
     */
    record BaseOutdated(long baseVersion, ConfigHead current, List<Change> changesSince)
            implements ApplyDecision {
        public BaseOutdated {
            Checks.notNull("current", current);
            changesSince = List.copyOf(changesSince);
        }
    }

    /**
     * The plan names a version that does not exist.
     *
     * @param baseVersion the version of the plan
     * @param current the version in force
     */
    record BaseUnknown(long baseVersion, ConfigHead current) implements ApplyDecision {
        public BaseUnknown {
            Checks.notNull("current", current);
        }
    }

    /**
     * The change needs words that the operator has not given.
     *
     * @param missing the words with their reasons
     */
    record Unconfirmed(List<Confirmation> missing) implements ApplyDecision {
        public Unconfirmed {
            missing = List.copyOf(missing);
            Checks.that(!missing.isEmpty(), "missing must not be empty");
        }
    }
}
