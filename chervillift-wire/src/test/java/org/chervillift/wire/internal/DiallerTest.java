package org.chervillift.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.LinkSettings;
import org.junit.jupiter.api.Test;

class DiallerTest {

    private static final HostPort TARGET = HostPort.parse("127.0.0.1:1000");
    private static final int FAILURES = 200;

    @Test
    void waitsAreSpreadOverTheWholeSpanAndBounded() {
        LinkSettings settings = LinkSettings.defaults();
        List<Long> delays = new ArrayList<>();
        List<Runnable> due = new ArrayList<>();
        Dialler dialler =
                new Dialler(
                        settings,
                        new SplittableRandom(7),
                        (task, delay, unit) -> {
                            delays.add(delay);
                            due.add(task);
                        },
                        address -> false,
                        address -> {});
        dialler.want(Set.of(TARGET));
        for (int i = 0; i < FAILURES; i++) {
            due.removeFirst().run();
            dialler.ended(TARGET, false);
        }
        long most = settings.retryMost().toMillis();
        List<Long> late = delays.subList(FAILURES / 2, delays.size());
        assertThat(delays).allMatch(d -> d <= most);
        assertThat(late.stream().filter(d -> d < most / 2).count()).isBetween(30L, 70L);
        dialler.want(Set.of());
        due.removeFirst().run();
        assertThat(due).as("an address that is not wanted is not dialled again").isEmpty();
    }
}
