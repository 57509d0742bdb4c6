package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.chervillift.core.tasks.HolderElection.Decision;
import org.chervillift.core.tasks.HolderElection.LeaseTimes;
import org.junit.jupiter.api.Test;

class HolderElectionTest {

    private static final long LEASE_MILLIS = 2_500;
    private static final long MAX_LEASE_MILLIS = 4_000;
    private static final long RENEW_INTERVAL_MILLIS = 700;

    private static HolderElection election(String process, String vm) {
        return new HolderElection(
                process,
                vm,
                new LeaseTimes(LEASE_MILLIS, MAX_LEASE_MILLIS, RENEW_INTERVAL_MILLIS),
                0);
    }

    private static HolderRow row(String process, String vm, boolean released) {
        return new HolderRow(process, vm, 4, 0, LEASE_MILLIS, released);
    }

    @Test
    void takesTheFirstTermInAnEmptyStore() {
        Decision decision = election("a", "vm-a").decide(0);
        assertThat(decision).isInstanceOf(Decision.Write.class);
        assertThat(((Decision.Write) decision).row().term()).isEqualTo(1);
    }

    @Test
    void waitsWhileTheRowChangesAndTakesOverOnceItIsUnchangedForALeaseDuration() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 1_000);
        assertThat(b.decide(1_000 + LEASE_MILLIS - 1)).isInstanceOf(Decision.Wait.class);
        b.observe(Optional.of(row("a", "vm-a", false).afterRenewal(LEASE_MILLIS)), 11, 3_000);
        assertThat(b.decide(3_000 + LEASE_MILLIS - 1)).isInstanceOf(Decision.Wait.class);

        Decision decision = b.decide(3_000 + LEASE_MILLIS);
        assertThat(decision).isInstanceOf(Decision.Write.class);
        Decision.Write write = (Decision.Write) decision;
        assertThat(write.version()).isEqualTo(11);
        assertThat(write.row().term()).isEqualTo(5);
        assertThat(write.takeover()).isTrue();
    }

    @Test
    void takesOverAtOnceAReleasedLeaseOrThatOfItsOwnFormerProcess() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", true)), 10, 0);
        assertThat(b.decide(1)).isInstanceOf(Decision.Write.class);

        HolderElection restarted = election("a2", "vm-a");
        restarted.observe(Optional.of(row("a1", "vm-a", false)), 10, 0);
        assertThat(restarted.decide(1)).isInstanceOf(Decision.Write.class);
    }

    /** Two live processes of one VM took the lease from each other at each write. */
    @Test
    void aLiveProcessOfTheSameVmDoesNotLoseItsLeaseAtOnce() {
        HolderElection second = election("a2", "vm-a");
        second.observe(Optional.of(row("a1", "vm-a", false)), 10, 0);
        Decision.Write takeover = (Decision.Write) second.decide(1);
        HolderElection first = election("a1", "vm-a");
        first.writeSucceeded(row("a1", "vm-a", false), 10, 0, 0);

        second.writeSucceeded(takeover.row(), 11, 1, 2);
        first.observe(Optional.of(takeover.row()), 11, 2);

        assertThat(first.decide(3)).isInstanceOf(Decision.Wait.class);
        assertThat(first.decide(2 + MAX_LEASE_MILLIS)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void aLeaseIsValidForItsDurationAfterTheLastRenewalWasSent() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 1_000, 1_200);
        assertThat(a.isLeaseValidFor(300, 1_000 + LEASE_MILLIS - 301)).isTrue();
        assertThat(a.isLeaseValidFor(300, 1_000 + LEASE_MILLIS - 300)).isFalse();
        assertThat(a.heldTerm()).contains(4L);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 5, 0, LEASE_MILLIS, false)), 11, 1_300);
        assertThat(a.isLeaseValidFor(0, 1_301)).isFalse();
    }

    @Test
    void aLeaseIsRenewedAlthoughTheAnswerToTheTakeoverWasLost() {
        HolderElection a = election("a", "vm-a");
        Decision.Write takeover = (Decision.Write) a.decide(1_000_000);
        a.observe(Optional.of(takeover.row()), 10, 1_000_020);
        assertThat(a.heldTerm()).contains(1L);
        assertThat(a.isLeaseValidFor(0, 1_000_020)).isFalse();

        assertThat(renewal(a, 1_000_020 + RENEW_INTERVAL_MILLIS).renewal()).isEqualTo(1);
    }

    @Test
    void aReadOfAnOlderVersionIsIgnored() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 0, 0);
        a.observe(Optional.of(new HolderRow("b", "vm-b", 3, 0, LEASE_MILLIS, false)), 9, 100);
        assertThat(a.heldTerm()).contains(4L);
    }

    private static HolderRow renewal(HolderElection election, long now) {
        return ((Decision.Write) election.decide(now)).row();
    }

    @Test
    void theLeaseIsLongerWhileRenewalsAreSlow() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 0, 20);
        assertThat(renewal(a, RENEW_INTERVAL_MILLIS).leaseMillis()).isEqualTo(LEASE_MILLIS);
        a.writeSucceeded(
                row("a", "vm-a", false), 11, RENEW_INTERVAL_MILLIS, RENEW_INTERVAL_MILLIS + 800);
        assertThat(renewal(a, 2 * RENEW_INTERVAL_MILLIS + 800).leaseMillis()).isEqualTo(3_200);
        a.writeSucceeded(row("a", "vm-a", false), 12, 3_000, 3_000 + 1_500);
        assertThat(renewal(a, 5_200).leaseMillis()).isEqualTo(MAX_LEASE_MILLIS);
    }

    /**
     * Each holder whose process had stalls of most of a lease lost it before it had started work.
     */
    @Test
    void theLeaseIsLongerAfterAStallOfTheHolder() {
        HolderElection a = election("a", "vm-a");
        a.writeSucceeded(row("a", "vm-a", false), 10, 1_000, 1_020);
        long sentAt = 1_000 + RENEW_INTERVAL_MILLIS + 900;
        a.writeSucceeded(row("a", "vm-a", false), 11, sentAt, sentAt + 20);
        assertThat(renewal(a, sentAt + RENEW_INTERVAL_MILLIS).leaseMillis()).isEqualTo(3_600);
    }

    @Test
    void theLeaseIsLongestWhileTheNewHolderReadsTheJobs() {
        HolderElection a = election("a", "vm-a");
        Decision.Write takeover = (Decision.Write) a.decide(0);
        assertThat(takeover.row().leaseMillis()).isEqualTo(MAX_LEASE_MILLIS);
        a.writeSucceeded(takeover.row(), 10, 0, 20);
        a.startReading();
        assertThat(renewal(a, RENEW_INTERVAL_MILLIS).leaseMillis()).isEqualTo(MAX_LEASE_MILLIS);
        a.writeSucceeded(
                row("a", "vm-a", false).afterRenewal(MAX_LEASE_MILLIS),
                11,
                RENEW_INTERVAL_MILLIS,
                RENEW_INTERVAL_MILLIS + 20);

        a.finishReading(true);
        assertThat(renewal(a, 2 * RENEW_INTERVAL_MILLIS).leaseMillis())
                .isBetween(LEASE_MILLIS, MAX_LEASE_MILLIS - 1);
        a.writeSucceeded(
                row("a", "vm-a", false),
                12,
                2 * RENEW_INTERVAL_MILLIS,
                2 * RENEW_INTERVAL_MILLIS + 20);
        assertThat(renewal(a, 3 * RENEW_INTERVAL_MILLIS).leaseMillis()).isEqualTo(LEASE_MILLIS);
    }

    @Test
    void aProcessThatFailedToReadTheJobsYieldsTheNextTerm() {
        HolderElection b = election("b", "vm-b");
        b.startReading();
        b.finishReading(false);
        b.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(b.decide(LEASE_MILLIS + MAX_LEASE_MILLIS - 1)).isInstanceOf(Decision.Wait.class);
        assertThat(b.decide(LEASE_MILLIS + MAX_LEASE_MILLIS)).isInstanceOf(Decision.Write.class);

        b.finishReading(true);
        assertThat(b.decide(LEASE_MILLIS)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void aShorterLeaseCountsOnceItIsRequested() {
        HolderElection a = election("a", "vm-a");
        HolderRow slow = row("a", "vm-a", false).afterRenewal(MAX_LEASE_MILLIS);
        a.writeSucceeded(slow, 10, 0, 20);
        assertThat(a.isLeaseValidFor(0, MAX_LEASE_MILLIS - 1)).isTrue();

        assertThat(renewal(a, RENEW_INTERVAL_MILLIS).leaseMillis()).isEqualTo(LEASE_MILLIS);
        assertThat(a.isLeaseValidFor(0, LEASE_MILLIS - 1)).isTrue();
        assertThat(a.isLeaseValidFor(0, LEASE_MILLIS)).isFalse();
    }

    @Test
    void anotherProcessWaitsForTheLeaseDurationInTheRow() {
        HolderElection b = election("b", "vm-b");
        b.observe(Optional.of(row("a", "vm-a", false).afterRenewal(MAX_LEASE_MILLIS)), 10, 0);
        assertThat(b.decide(MAX_LEASE_MILLIS - 1)).isInstanceOf(Decision.Wait.class);
        assertThat(b.decide(MAX_LEASE_MILLIS)).isInstanceOf(Decision.Write.class);
    }

    @Test
    void aProcessOnASlowLinkWaitsBeforeItTakesAFreeLease() {
        LeaseTimes times = new LeaseTimes(LEASE_MILLIS, MAX_LEASE_MILLIS, RENEW_INTERVAL_MILLIS);
        HolderElection slow = new HolderElection("s", "vm-s", times, 800);
        slow.observe(Optional.of(row("a", "vm-a", false)), 10, 0);
        assertThat(slow.decide(LEASE_MILLIS + 799)).isInstanceOf(Decision.Wait.class);
        assertThat(slow.decide(LEASE_MILLIS + 800)).isInstanceOf(Decision.Write.class);

        slow.observe(Optional.of(row("a", "vm-a", true)), 11, 5_000);
        assertThat(slow.decide(5_799)).isInstanceOf(Decision.Wait.class);
        assertThat(slow.decide(5_800)).isInstanceOf(Decision.Write.class);
    }
}
