package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.chervillift.core.tasks.HolderElection.LeaseTimes;
import org.chervillift.core.tasks.HolderElection.Step;
import org.junit.jupiter.api.Test;

class HolderElectionTest {

    private static final long LEASE = 2_500;
    private static final long MOST = 4_000;
    private static final long RENEW = 700;

    private static HolderElection election(String process, String vm) {
        return new HolderElection(process, vm, new LeaseTimes(LEASE, MOST, RENEW), 0);
    }

    private static HolderRow row(String process, String vm, boolean released) {
        return new HolderRow(process, vm, 4, 0, LEASE, released);
    }

    @Test
    void takesAFreshStoreWithTheFirstTerm() {
        Step step = election("a", "vm-a").decide(0);
        assertThat(step).isInstanceOf(Step.Write.class);
        assertThat(((Step.Write) step).row().term()).isEqualTo(1);
    }

    @Test
    void waitsWhileTheRowChangesAndTakesItOnceItStandsStillForALease() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 1_000);
        assertThat(b.decide(1_000 + LEASE - 1)).isInstanceOf(Step.Wait.class);
        b.observe(Optional.of(row("a", "vm-a", false).renewed(LEASE)), 11, 3_000);
        assertThat(b.decide(3_000 + LEASE - 1)).isInstanceOf(Step.Wait.class);

        Step step = b.decide(3_000 + LEASE);
        assertThat(step).isInstanceOf(Step.Write.class);
        Step.Write write = (Step.Write) step;
        assertThat(write.version()).isEqualTo(11);
        assertThat(write.row().term()).isEqualTo(5);
        assertThat(write.takeover()).isTrue();
    }

    @Test
    void takesAtOnceWhatWasGivenBackOrWasItsOwnFormerRun() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", true)), 10, 0);
        assertThat(b.decide(1)).isInstanceOf(Step.Write.class);

        HolderElection again = election("a2", "vm-a");
        again.observe(Optional.of(row("a1", "vm-a", false)), 10, 0);
        assertThat(again.decide(1)).isInstanceOf(Step.Write.class);
    }

    @Test
    void isSafeOnlyForALeaseAfterItsLastRenewalWasSent() {
        HolderElection a = election("a", "vm-a");
        a.wrote(row("a", "vm-a", false), 10, 1_000, 1_200);
        assertThat(a.isSafe(300, 1_000 + LEASE - 301)).isTrue();
        assertThat(a.isSafe(300, 1_000 + LEASE - 300)).isFalse();
        assertThat(a.heldTerm()).contains(4L);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 5, 0, LEASE, false)), 11, 1_300);
        assertThat(a.isSafe(0, 1_301)).isFalse();
    }

    @Test
    void aLeaseIsRenewedAlthoughTheAnswerToTheTakeoverWasLost() {
        HolderElection a = election("a", "vm-a");
        Step.Write taken = (Step.Write) a.decide(1_000_000);
        a.observe(Optional.of(taken.row()), 10, 1_000_020);
        assertThat(a.heldTerm()).contains(1L);
        assertThat(a.isSafe(0, 1_000_020)).isFalse();

        assertThat(renewal(a, 1_000_020 + RENEW).renewal()).isEqualTo(1);
    }

    @Test
    void anOlderReadChangesNothing() {
        HolderElection a = election("a", "vm-a");
        a.wrote(row("a", "vm-a", false), 10, 0, 0);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 3, 0, LEASE, false)), 9, 100);
        assertThat(a.heldTerm()).contains(4L);
    }

    private static HolderRow renewal(HolderElection election, long now) {
        return ((Step.Write) election.decide(now)).row();
    }

    @Test
    void theLeaseIsLongerWhileRenewalsTakeLong() {
        HolderElection a = election("a", "vm-a");
        a.wrote(row("a", "vm-a", false), 10, 0, 20);
        assertThat(renewal(a, RENEW).leaseMillis()).isEqualTo(LEASE);
        a.wrote(row("a", "vm-a", false), 11, RENEW, RENEW + 800);
        assertThat(renewal(a, 2 * RENEW + 800).leaseMillis()).isEqualTo(3_200);
        a.wrote(row("a", "vm-a", false), 12, 3_000, 3_000 + 1_500);
        assertThat(renewal(a, 5_200).leaseMillis()).isEqualTo(MOST);
    }

    @Test
    void theLeaseIsTheLongestWhileItsNewHolderReads() {
        HolderElection a = election("a", "vm-a");
        Step.Write taken = (Step.Write) a.decide(0);
        assertThat(taken.row().leaseMillis()).isEqualTo(MOST);
        a.wrote(taken.row(), 10, 0, 20);
        a.readingBegins();
        assertThat(renewal(a, RENEW).leaseMillis()).isEqualTo(MOST);
        a.wrote(row("a", "vm-a", false).renewed(MOST), 11, RENEW, RENEW + 20);

        a.readingEnds(true);
        assertThat(renewal(a, 2 * RENEW).leaseMillis()).isBetween(LEASE, MOST - 1);
        a.wrote(row("a", "vm-a", false), 12, 2 * RENEW, 2 * RENEW + 20);
        assertThat(renewal(a, 3 * RENEW).leaseMillis()).isEqualTo(LEASE);
    }

    @Test
    void whoCouldNotReadInItsTermLeavesTheNextTermToOthers() {
        HolderElection b = election("b", "vm-b");
        b.readingBegins();
        b.readingEnds(false);
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(b.decide(LEASE + MOST - 1)).isInstanceOf(Step.Wait.class);
        assertThat(b.decide(LEASE + MOST)).isInstanceOf(Step.Write.class);

        b.readingEnds(true);
        assertThat(b.decide(LEASE)).isInstanceOf(Step.Write.class);
    }

    @Test
    void aShorterLeaseCountsFromWhenItIsAskedFor() {
        HolderElection a = election("a", "vm-a");
        HolderRow slow = row("a", "vm-a", false).renewed(MOST);
        a.wrote(slow, 10, 0, 20);
        assertThat(a.isSafe(0, MOST - 1)).isTrue();

        assertThat(renewal(a, RENEW).leaseMillis()).isEqualTo(LEASE);
        assertThat(a.isSafe(0, LEASE - 1)).isTrue();
        assertThat(a.isSafe(0, LEASE)).isFalse();
    }

    @Test
    void anotherProcessWaitsAsLongAsTheRowSays() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false).renewed(MOST)), 10, 0);
        assertThat(b.decide(MOST - 1)).isInstanceOf(Step.Wait.class);
        assertThat(b.decide(MOST)).isInstanceOf(Step.Write.class);
    }

    @Test
    void aProcessOnASlowLinkLeavesAFreeLeaseToOthersForAWhile() {
        LeaseTimes times = new LeaseTimes(LEASE, MOST, RENEW);
        HolderElection slow = new HolderElection("s", "vm-s", times, 800);
        slow.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(slow.decide(LEASE + 799)).isInstanceOf(Step.Wait.class);
        assertThat(slow.decide(LEASE + 800)).isInstanceOf(Step.Write.class);

        slow.observe(Optional.of(row("a", "vm-a", true)), 11, 5_000);
        assertThat(slow.decide(5_799)).isInstanceOf(Step.Wait.class);
        assertThat(slow.decide(5_800)).isInstanceOf(Step.Write.class);
    }
}
