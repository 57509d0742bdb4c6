package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class GoneVmsTest {

    private static final long PATIENCE = 4_000;
    private static final Set<String> WANTED = Set.of("a", "b");

    private final GoneVms vms = new GoneVms(PATIENCE);

    @Test
    void aVmIsGoneOnlyWhenSeveralListsOverATimeDoNotShowIt() {
        assertThat(vms.take(WANTED, Set.of("a"), 0)).isEmpty();
        assertThat(vms.take(WANTED, Set.of("a"), PATIENCE)).isEmpty();
        assertThat(vms.take(WANTED, Set.of("a"), PATIENCE + 1)).containsExactly("b");
    }

    @Test
    void aListThatShowsAVmEndsItsAbsence() {
        vms.take(WANTED, Set.of("a"), 0);
        vms.take(WANTED, WANTED, 100);
        vms.take(WANTED, Set.of("a"), 200);
        vms.take(WANTED, Set.of("a"), 300);
        assertThat(vms.take(WANTED, Set.of("a"), PATIENCE)).isEmpty();
        assertThat(vms.take(WANTED, Set.of("a"), 200 + PATIENCE)).containsExactly("b");
    }
}
