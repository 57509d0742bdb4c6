package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.config.PeerFreshness;

/** What a process tells of the freshness of its keys, with all fields in use. */
final class TypicalFreshness {

    private static final int DATA_CENTRES = 6;
    private static final long RING_VERSION = 500;
    private static final long MEMBERS_VERSION = 4_000;
    private static final Duration SPAN = Duration.ofSeconds(4);

    private TypicalFreshness() {}

    static PeerFreshness create() {
        List<PeerFreshness.Group> groups = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            groups.add(new PeerFreshness.Group("dc-" + i, MEMBERS_VERSION, SPAN));
        }
        return new PeerFreshness(
                RING_VERSION, MEMBERS_VERSION, SPAN, Optional.of(SPAN), false, groups);
    }
}
