package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.chervillift.core.tasks.HolderElection.Decision;
import org.chervillift.core.tasks.HolderElection.LeaseTimes;
import org.junit.jupiter.api.Test;

class HolderElectionTest {

    private static final long LEASE = 2_500;
    private static final long MAX_LEASE = 4_000;
    private static final long RENEW_INTERVAL = 700;

    private static HolderElection election(String process, String vm) {
        return new HolderElection(process, vm, new LeaseTimes(LEASE, MAX_LEASE, RENEW_INTERVAL), 0);
    }

    private static HolderRow row(String process, String vm, boolean released) {
        return new HolderRow(process, vm, 4, 0, LEASE, released);
    }

    @Test
    void takesAFreshStoreWithTheFirstTerm() {
        Decision step = election("a", "vm-a").decide(0);
        assertThat(step).isInstanceOf(Decision.Write.class);
        assertThat(((Decision.Write) step).row().term()).isEqualTo(1);
    }

    @Test
    void waitsWhileTheRowChangesAndTakesItOnceItStandsStillForALease() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 1_000);
        assertThat(b.decide(1_000 + LEASE - 1)).isInstanceOf(Decision.Wait.class);
        b.observe(Optional.of(row("a", "vm-a", false).afterRenewal(LEASE)), 11, 3_000);
        assertThat(b.decide(3_000 + LEASE - 1)).isInstanceOf(Decision.Wait.class);

        Decision step = b.decide(3_000 + LEASE);
        assertThat(step).isInstanceOf(Decision.Write.class);
        Decision.Write write = (Decision.Write) step;
        assertThat(write.version()).isEqualTo(11);
        assertThat(write.row().term()).isEqualTo(5);
        assertThat(write.takeover()).isTrue();
    }

    @Test
    void takesAtOnceWhatWasGivenBackOrWasItsOwnFormerRun() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", true)), 10, 0);
        assertThat(b.decide(1)).isInstanceOf(Decision.Write.class);

        HolderElection again = election("a2", "vm-a");
        again.observe(Optional.of(row("a1", "vm-a", false)), 10, 0);
        assertThat(again.decide(1)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void isSafeOnlyForALeaseAfterItsLastRenewalWasSent() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 1_000, 1_200);
        assertThat(a.isLeaseValidFor(300, 1_000 + LEASE - 301)).isTrue();
        assertThat(a.isLeaseValidFor(300, 1_000 + LEASE - 300)).isFalse();
        assertThat(a.heldTerm()).contains(4L);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 5, 0, LEASE, false)), 11, 1_300);
        assertThat(a.isLeaseValidFor(0, 1_301)).isFalse();
    }

    @Test
    void aLeaseIsRenewedAlthoughTheAnswerToTheTakeoverWasLost() {
        HolderElection a = election("a", "vm-a");
        Decision.Write taken = (Decision.Write) a.decide(1_000_000);
        a.observe(Optional.of(taken.row()), 10, 1_000_020);
        assertThat(a.heldTerm()).contains(1L);
        assertThat(a.isLeaseValidFor(0, 1_000_020)).isFalse();

        assertThat(renewal(a, 1_000_020 + RENEW_INTERVAL).renewal()).isEqualTo(1);
    }

    @Test
    void anOlderReadChangesNothing() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 0, 0);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 3, 0, LEASE, false)), 9, 100);
        assertThat(a.heldTerm()).contains(4L);
    }

    private static HolderRow renewal(HolderElection election, long now) {
        return ((Decision.Write) election.decide(now)).row();
    }

    @Test
    void theLeaseIsLongerWhileRenewalsTakeLong() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 0, 20);
        assertThat(renewal(a, RENEW_INTERVAL).leaseMillis()).isEqualTo(LEASE);
        a.writeSucceeded(row("a", "vm-a", false), 11, RENEW_INTERVAL, RENEW_INTERVAL + 800);
        assertThat(renewal(a, 2 * RENEW_INTERVAL + 800).leaseMillis()).isEqualTo(3_200);
        a.writeSucceeded(row("a", "vm-a", false), 12, 3_000, 3_000 + 1_500);
        assertThat(renewal(a, 5_200).leaseMillis()).isEqualTo(MAX_LEASE);
    }

    @Test
    void theLeaseIsTheLongestWhileItsNewHolderReads() {
        HolderElection a = election("a", "vm-a");
        Decision.Write taken = (Decision.Write) a.decide(0);
        assertThat(taken.row().leaseMillis()).isEqualTo(MAX_LEASE);
        a.writeSucceeded(taken.row(), 10, 0, 20);
        a.startReading();
        assertThat(renewal(a, RENEW_INTERVAL).leaseMillis()).isEqualTo(MAX_LEASE);
        a.writeSucceeded(
                row("a", "vm-a", false).afterRenewal(MAX_LEASE),
                11,
                RENEW_INTERVAL,
                RENEW_INTERVAL + 20);

        a.finishReading(true);
        assertThat(renewal(a, 2 * RENEW_INTERVAL).leaseMillis()).isBetween(LEASE, MAX_LEASE - 1);
        a.writeSucceeded(row("a", "vm-a", false), 12, 2 * RENEW_INTERVAL, 2 * RENEW_INTERVAL + 20);
        assertThat(renewal(a, 3 * RENEW_INTERVAL).leaseMillis()).isEqualTo(LEASE);
    }

    @Test
    void whoCouldNotReadInItsTermLeavesTheNextTermToOthers() {
        HolderElection b = election("b", "vm-b");
        b.startReading();
        b.finishReading(false);
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(b.decide(LEASE + MAX_LEASE - 1)).isInstanceOf(Decision.Wait.class);
        assertThat(b.decide(LEASE + MAX_LEASE)).isInstanceOf(Decision.Write.class);

        b.finishReading(true);
        assertThat(b.decide(LEASE)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void aShorterLeaseCountsFromWhenItIsAskedFor() {
        HolderElection a = election("a", "vm-a");
        HolderRow slow = row("a", "vm-a", false).afterRenewal(MAX_LEASE);
        a.writeSucceeded(slow, 10, 0, 20);
        assertThat(a.isLeaseValidFor(0, MAX_LEASE - 1)).isTrue();

        assertThat(renewal(a, RENEW_INTERVAL).leaseMillis()).isEqualTo(LEASE);
        assertThat(a.isLeaseValidFor(0, LEASE - 1)).isTrue();
        assertThat(a.isLeaseValidFor(0, LEASE)).isFalse();
    }

    @Test
    void anotherProcessWaitsAsLongAsTheRowSays() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false).afterRenewal(MAX_LEASE)), 10, 0);
        assertThat(b.decide(MAX_LEASE - 1)).isInstanceOf(Decision.Wait.class);
        assertThat(b.decide(MAX_LEASE)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void aProcessOnASlowLinkLeavesAFreeLeaseToOthersForAWhile() {
        LeaseTimes times = new LeaseTimes(LEASE, MAX_LEASE, RENEW_INTERVAL);
        HolderElection slow = new HolderElection("s", "vm-s", times, 800);
        slow.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(slow.decide(LEASE + 799)).isInstanceOf(Decision.Wait.class);
        assertThat(slow.decide(LEASE + 800)).isInstanceOf(Decision.Write.class);

        slow.observe(Optional.of(row("a", "vm-a", true)), 11, 5_000);
        assertThat(slow.decide(5_799)).isInstanceOf(Decision.Wait.class);
        assertThat(slow.decide(5_800)).isInstanceOf(Decision.Write.class);
    }
}
