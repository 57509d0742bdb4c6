package org.chervillift.core.config;

import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;

/**
 * An operator's wish to bring a sheet into force.
 *
 * @param content the content of the sheet
 * @param baseVersion the version that the plan was made on
 * @param confirmations the words that the operator gave
 */
public record ApplyRequest(FleetConfig content, long baseVersion, Set<String> confirmations) {
    public ApplyRequest {
        Checks.notNull("content", content);
        Checks.notNegative("baseVersion", baseVersion);
        confirmations = Set.copyOf(confirmations);
    }
}
