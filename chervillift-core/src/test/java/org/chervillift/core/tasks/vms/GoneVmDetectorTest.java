package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.junit.jupiter.api.Test;

class GoneVmDetectorTest {

    private static final long MIN_ABSENCE_MILLIS = 4_000;
    private static final long SLOW_LIST_MILLIS = 2_000;
    private static final Set<String> WATCHED = Set.of("a", "b");

    private final GoneVmDetector detector = new GoneVmDetector(MIN_ABSENCE_MILLIS);

    @Test
    void aVmIsGoneOnlyOnceSeveralListsOverTheMinimumTimeDoNotContainIt() {
        assertThat(detector.applyList(WATCHED, list(Set.of("a"), 0))).isEmpty();
        assertThat(detector.applyList(WATCHED, list(Set.of("a"), MIN_ABSENCE_MILLIS))).isEmpty();
        assertThat(detector.applyList(WATCHED, list(Set.of("a"), MIN_ABSENCE_MILLIS + 1)))
                .containsExactly("b");
    }

    @Test
    void aListThatContainsAVmEndsItsAbsence() {
        detector.applyList(WATCHED, list(Set.of("a"), 0));
        detector.applyList(WATCHED, list(WATCHED, 100));
        detector.applyList(WATCHED, list(Set.of("a"), 200));
        detector.applyList(WATCHED, list(Set.of("a"), 300));
        assertThat(detector.applyList(WATCHED, list(Set.of("a"), MIN_ABSENCE_MILLIS))).isEmpty();
        assertThat(detector.applyList(WATCHED, list(Set.of("a"), 200 + MIN_ABSENCE_MILLIS)))
                .containsExactly("b");
    }

    /** A VM that was away for less counted as gone, since slow lists were taken for their time. */
    @Test
    void theTimeThatAListTakesDoesNotCountAsAbsence() {
        long at = 0;
        for (long received : List.of(0L, SLOW_LIST_MILLIS, 2 * SLOW_LIST_MILLIS)) {
            at = received;
            VmList slow = new VmList(vms(Set.of("a")), at - SLOW_LIST_MILLIS, at);
            assertThat(detector.applyList(WATCHED, slow)).isEmpty();
        }
        VmList last = new VmList(vms(Set.of("a")), MIN_ABSENCE_MILLIS, at + SLOW_LIST_MILLIS);
        assertThat(detector.applyList(WATCHED, last)).containsExactly("b");
    }

    private static VmList list(Set<String> names, long at) {
        return new VmList(vms(names), at, at);
    }

    private static List<ListedFleetVm> vms(Set<String> names) {
        return names.stream()
                .map(
                        n ->
                                new ListedFleetVm(
                                        n,
                                        "p",
                                        Status.UP,
                                        "dc",
                                        List.of(),
                                        Resources.NONE,
                                        "w" + n))
                .toList();
    }
}
