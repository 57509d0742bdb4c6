package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.EndedWorkerDetector.Findings;
import org.chervillift.core.tasks.vms.VmList;
import org.junit.jupiter.api.Test;

/** Tests which workers count as ended by lists of VMs. */
class EndedWorkerDetectorTest {

    private static final long LIST_MILLIS = 500;
    private static final long PAUSE_MILLIS = 300;
    private static final long GRACE_MILLIS = 1_500;

    private final EndedWorkerDetector detector = new EndedWorkerDetector();
    private long now;

    @Test
    void aWorkerHasEndedOnceTwoListsInARowLackIt() {
        WorkerEvidence worker = evidence(0, 0);
        apply(worker, true);
        assertThat(apply(worker, false).newlyAbsent()).containsExactly("w");
        assertThat(apply(worker, false).ended()).containsExactly("w");
    }

    @Test
    void aListThatShowsAWorkerEndsItsAbsence() {
        WorkerEvidence worker = evidence(0, 0);
        apply(worker, true);
        apply(worker, false);
        apply(worker, true);
        assertThat(apply(worker, false).ended()).isEmpty();
    }

    /** The runs of a worker that was back under its identifier were taken for lost. */
    @Test
    void aListTellsNothingOfALifetimeThatBecameKnownAfterItWasRequested() {
        WorkerEvidence former = evidence(0, 0);
        apply(former, true);
        apply(former, false);
        WorkerEvidence next = evidence(now + PAUSE_MILLIS + 1, now);
        assertThat(apply(next, false)).isEqualTo(new Findings(List.of(), List.of()));
        assertThat(apply(next, true)).isEqualTo(new Findings(List.of(), List.of()));
        apply(next, false);
        assertThat(apply(next, false).ended()).containsExactly("w");
    }

    /** The absence of the former lifetime was taken for that of the next one. */
    @Test
    void theAbsenceOfAFormerLifetimeIsNotThatOfTheNextOne() {
        WorkerEvidence former = evidence(0, 0);
        apply(former, true);
        apply(former, false);
        WorkerEvidence next = evidence(now + 1, now + 1);
        assertThat(apply(next, false).ended()).isEmpty();
    }

    /** Lists that lacked the VM of a worker that answered ended its runs. */
    @Test
    void aWorkerThatHasAnsweredSinceTheFirstListHasNotEnded() {
        apply(evidence(0, 0), true);
        apply(evidence(0, 0), false);
        assertThat(apply(evidence(0, now + 1), false).ended()).isEmpty();
        assertThat(apply(evidence(0, now - 1), false).ended()).containsExactly("w");
    }

    /** A worker that was asked as soon as a list lacked it answered, and was ended all the same. */
    @Test
    void aWorkerThatHasAnsweredACallOfTheMomentOfTheFirstListHasNotEnded() {
        apply(evidence(0, 0), true);
        apply(evidence(0, 0), false);
        assertThat(apply(evidence(0, now), false).ended()).isEmpty();
    }

    /** An answer from before the list does not put off the end of a worker that is gone. */
    @Test
    void anAnswerOfAWorkerWhileTheListWasOnItsWayDoesNotDelayItsEnd() {
        apply(evidence(0, 0), true);
        apply(evidence(0, now + PAUSE_MILLIS + LIST_MILLIS - 1), false);
        assertThat(apply(evidence(0, now - 1), false).ended()).containsExactly("w");
    }

    @Test
    void aLifetimeThatNoListHasShownGetsMoreTime() {
        WorkerEvidence worker = evidence(0, 0);
        apply(worker, false);
        long since = now;
        while (now + PAUSE_MILLIS + LIST_MILLIS < since + GRACE_MILLIS) {
            assertThat(apply(worker, false).ended()).isEmpty();
        }
        assertThat(apply(worker, false).ended()).containsExactly("w");
    }

    @Test
    void aWorkerThatRegisteredBeforeTheTermHasEndedOnceTwoListsLackIt() {
        WorkerEvidence worker = WorkerEvidence.ofUnlisted("w");
        apply(worker, false);
        assertThat(apply(worker, false).ended()).containsExactly("w");
    }

    @Test
    void aListThatNamesNoWorkerForAVmThatIsUpIsIgnored() {
        WorkerEvidence worker = evidence(0, 0);
        apply(worker, true);
        apply(worker, false);
        VmList odd = new VmList(List.of(vm("other", "o"), vm("odd", "")), now, now);
        assertThat(detector.applyList(odd, Set.of(), List.of(worker)).ended()).isEmpty();
    }

    /** Applies the next list, which takes a while. */
    private Findings apply(WorkerEvidence worker, boolean listed) {
        long requestedAt = now + PAUSE_MILLIS;
        now = requestedAt + LIST_MILLIS;
        List<ListedFleetVm> vms =
                Stream.of(vm("other", "o"), vm("vm", "w"))
                        .filter(v -> listed || !v.worker().equals("w"))
                        .toList();
        return detector.applyList(new VmList(vms, requestedAt, now), Set.of(), List.of(worker));
    }

    private static WorkerEvidence evidence(long knownSince, long aliveAt) {
        return new WorkerEvidence("w", knownSince, aliveAt, false);
    }

    private static ListedFleetVm vm(String name, String worker) {
        return new ListedFleetVm(name, "p", Status.UP, "dc", List.of(), Resources.NONE, worker);
    }
}
