package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadWindowTest {

    private static final int READS = 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ReadWindow window = new ReadWindow();

    /** Sends reads side by side to a store that takes a while, over a link of a rate. */
    private long round(long storeMillis, double rowsPerSecond) {
        int rows = window.rowsPerRead(READS);
        int reads = Math.max(1, Math.min(READS, window.rows() / rows));
        for (int i = 0; i < reads; i++) {
            window.readSent();
        }
        long slowest = 0;
        for (int i = 1; i <= reads; i++) {
            slowest = storeMillis + Math.round(i * rows * MILLIS_PER_SECOND / rowsPerSecond);
            window.readAnswered(slowest);
        }
        return slowest - storeMillis;
    }

    private long waitOfLastRound(int rounds, long storeMillis, double rowsPerSecond) {
        long wait = 0;
        for (int i = 0; i < rounds; i++) {
            wait = round(storeMillis, rowsPerSecond);
        }
        return wait;
    }

    @Test
    void aFastLinkIsUsedWhole() {
        waitOfLastRound(8, 4, 1_000_000);
        assertThat(window.rowsPerRead(READS)).isEqualTo(500);
    }

    @Test
    void otherCallsWaitAShortTimeBehindReadsOnASlowLink() {
        for (int rowsPerSecond : new int[] {50, 300, 3_000}) {
            assertThat(waitOfLastRound(20, 4, rowsPerSecond)).isBetween(40L, 400L);
        }
    }

    @Test
    void aSlowStoreIsNoSlowLink() {
        waitOfLastRound(6, 4, 100_000);
        waitOfLastRound(14, 600, 100_000);
        assertThat(window.rows()).isGreaterThan(1_000);
    }

    @Test
    void readsThatFailAreFollowedByFewer() {
        int before = window.rows();
        for (int i = 0; i < READS; i++) {
            window.readSent();
        }
        for (int i = 0; i < READS; i++) {
            window.readFailed();
        }
        assertThat(window.rows()).isEqualTo(before / 2);
    }

    @Test
    void aFewReadsShareTheWindow() {
        assertThat(window.rowsPerRead(2)).isEqualTo(window.rows() / 2);
    }
}
