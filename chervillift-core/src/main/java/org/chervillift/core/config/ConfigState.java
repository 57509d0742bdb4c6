package org.chervillift.core.config;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;

/**
 * What the store holds at the time of a decision.
 *
 * @param head the version in force
 * @param content the content of that version
 * @param history recent heads, the present one among them or not, in any order
 */
public record ConfigState(ConfigHead head, FleetConfig content, List<ConfigHead> history) {

    /** The state before the first sheet. */
    public static final ConfigState NONE =
            new ConfigState(ConfigHead.NONE, FleetConfig.EMPTY, List.of());

    public ConfigState {
        Checks.notNull("head", head);
        Checks.notNull("content", content);
        history = List.copyOf(history);
        Checks.that(head.version() == content.version(), "head and content differ in version");
    }

    /** Returns an earlier head. */
    public Optional<ConfigHead> earlier(long version) {
        return history.stream().filter(h -> h.version() == version).findFirst();
    }
}
