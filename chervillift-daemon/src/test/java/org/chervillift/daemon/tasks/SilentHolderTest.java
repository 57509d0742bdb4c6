package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** A holder that renews its lease and does nothing must be replaced. */
class SilentHolderTest extends FaultyPlatformTestBase {

    private static final int ALWAYS = Integer.MAX_VALUE;

    private static boolean wasReplaced(TaskNode node) {
        return !new String(node.metrics(), StandardCharsets.UTF_8)
                .contains("chervillift_holder_replacements_total 0.0");
    }

    /** The lease was renewed for ever for a holder that could not be started. */
    @Test
    void leaseIsGivenToAnotherProcessIfTheHolderCannotBeStarted() {
        fixture.addVm("v1");
        platform.failNext("worker table", CallFault.THROWS, ALWAYS);
        fixture.startNode("a", platform);
        fixture.advanceMillis(300);
        TaskNode b = fixture.startNodeAndWait("b");
        fixture.ask(b, Action.SUBMIT, JOB);
        fixture.advanceMillis(10_000);
        assertJobIsCompleted(b);
    }

    /** With one process alone, nobody took the lease that it gave back. */
    @Test
    void theOnlyProcessTakesItsLeaseAgainWithANewTerm() {
        fixture.addVm("v1");
        platform.failNext("worker table", CallFault.THROWS, 1);
        TaskNode a = fixture.startNode("a", platform);
        fixture.advanceMillis(8_000);
        fixture.ask(a, Action.SUBMIT, JOB);
        fixture.advanceMillis(3_000);
        assertJobIsCompleted(a);
        assertThat(wasReplaced(a)).isTrue();
    }

    /** A table whose rows this process can never apply kept its holder from starting anything. */
    @Test
    void holderThatCannotFollowTheWorkersIsReplaced() {
        fixture.addVm("v1");
        platform.failNext("worker row", CallFault.THROWS, ALWAYS);
        TaskNode a = fixture.startNode("a", platform);
        fixture.advanceMillis(1_000);
        TaskNode b = fixture.startNodeAndWait("b");
        fixture.ask(b, Action.SUBMIT, JOB);
        fixture.advanceMillis(30_000);
        assertJobIsCompleted(b);
        assertThat(wasReplaced(a)).isTrue();
    }

    /** A fault that meets each holder must not make the fleet elect without end. */
    @Test
    void electionsBecomeRareIfNoProcessCanStartAHolder() {
        platform.failNext("worker table", CallFault.THROWS, ALWAYS);
        fixture.startNode("a", platform);
        fixture.startNode("b", platform);
        fixture.advanceMillis(120_000);
        int before = platform.count("worker table");
        fixture.advanceMillis(200_000);
        assertThat(platform.count("worker table") - before).isBetween(2, 2 * 200 / 20 + 2);
    }

    /** A store that is away is no fault of the holder. */
    @Test
    void holderIsNotReplacedWhileTheStoreIsAway() {
        fixture.addVm("v1");
        TaskNode a = fixture.startNodeAndWait("a");
        fixture.ask(a, Action.SUBMIT, JOB);
        fixture.store.setFault(StoreFault.SILENT);
        fixture.advanceMillis(60_000);
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(10_000);
        assertJobIsCompleted(a);
        assertThat(wasReplaced(a)).isFalse();
    }
}
