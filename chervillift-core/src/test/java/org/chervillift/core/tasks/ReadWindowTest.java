package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadWindowTest {

    private static final int READS = 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ReadWindow window = new ReadWindow();

    /**
     * Simulates concurrent reads from a store with a latency, over a link with a row rate; returns
     * the queueing delay of the slowest read in milliseconds.
     */
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
    void theWindowGrowsOnAFastLink() {
        waitOfLastRound(8, 4, 1_000_000);
        assertThat(window.rowsPerRead(READS)).isEqualTo(500);
    }

    @Test
    void queueingDelayStaysShortOnASlowLink() {
        for (int rowsPerSecond : new int[] {50, 300, 3_000}) {
            assertThat(waitOfLastRound(20, 4, rowsPerSecond)).isBetween(40L, 400L);
        }
    }

    @Test
    void aSlowStoreDoesNotShrinkTheWindow() {
        waitOfLastRound(6, 4, 100_000);
        waitOfLastRound(14, 600, 100_000);
        assertThat(window.rows()).isGreaterThan(1_000);
    }

    @Test
    void failedReadsHalveTheWindow() {
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
    void openReadsShareTheWindow() {
        assertThat(window.rowsPerRead(2)).isEqualTo(window.rows() / 2);
    }
}
