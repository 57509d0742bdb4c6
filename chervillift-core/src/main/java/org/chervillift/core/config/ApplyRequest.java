package org.chervillift.core.config;

import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;

/**
 * An operator's request to apply a configuration sheet.
 *
 * @param content the content of the sheet
 * @param baseVersion the version that the plan is based on
 * @param confirmations the confirmation words given by the operator
 */
public record ApplyRequest(FleetConfig content, long baseVersion, Set<String> confirmations) {
    public ApplyRequest {
        Checks.notNull("content", content);
        Checks.notNegative("baseVersion", baseVersion);
        confirmations = Set.copyOf(confirmations);
    }
}
