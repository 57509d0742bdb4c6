package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class GoneVmDetectorTest {

    private static final long MIN_ABSENCE_MILLIS = 4_000;
    private static final Set<String> WATCHED = Set.of("a", "b");

    private final GoneVmDetector detector = new GoneVmDetector(MIN_ABSENCE_MILLIS);

    @Test
    void aVmIsGoneOnlyOnceSeveralListsOverTheMinimumTimeDoNotContainIt() {
        assertThat(detector.applyList(WATCHED, Set.of("a"), 0)).isEmpty();
        assertThat(detector.applyList(WATCHED, Set.of("a"), MIN_ABSENCE_MILLIS)).isEmpty();
        assertThat(detector.applyList(WATCHED, Set.of("a"), MIN_ABSENCE_MILLIS + 1))
                .containsExactly("b");
    }

    @Test
    void aListThatContainsAVmEndsItsAbsence() {
        detector.applyList(WATCHED, Set.of("a"), 0);
        detector.applyList(WATCHED, WATCHED, 100);
        detector.applyList(WATCHED, Set.of("a"), 200);
        detector.applyList(WATCHED, Set.of("a"), 300);
        assertThat(detector.applyList(WATCHED, Set.of("a"), MIN_ABSENCE_MILLIS)).isEmpty();
        assertThat(detector.applyList(WATCHED, Set.of("a"), 200 + MIN_ABSENCE_MILLIS))
                .containsExactly("b");
    }
}
