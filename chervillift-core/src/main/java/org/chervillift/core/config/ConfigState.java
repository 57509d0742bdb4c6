package org.chervillift.core.config;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;

/**
 * The stored configuration at the time of a decision.
 *
 * @param head the current version
 * @param content the content of the current version
 * @param history the heads of recent versions in any order, with or without the current one
 */
public record ConfigState(ConfigHead head, FleetConfig content, List<ConfigHead> history) {

    /** The state before the first sheet is applied. */
    public static final ConfigState NONE =
            new ConfigState(ConfigHead.NONE, FleetConfig.EMPTY, List.of());

    public ConfigState {
        Checks.notNull("head", head);
        Checks.notNull("content", content);
        history = List.copyOf(history);
        Checks.that(
                head.version() == content.version(), "head and content must have the same version");
    }

    /** Returns the head of a version if the history contains it. */
    public Optional<ConfigHead> findInHistory(long version) {
        return history.stream().filter(h -> h.version() == version).findFirst();
    }
}
