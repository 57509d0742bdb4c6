package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadWindowTest {

    private static final int READS = 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ReadWindow window = new ReadWindow();

    /** Sends reads side by side to a store that takes a while, over a link of a rate. */
    private long round(long storeMillis, double rowsPerSecond) {
        int rows = window.rowsOfRead(READS);
        int reads = Math.max(1, Math.min(READS, window.rows() / rows));
        for (int i = 0; i < reads; i++) {
            window.sent();
        }
        long slowest = 0;
        for (int i = 1; i <= reads; i++) {
            slowest = storeMillis + Math.round(i * rows * MILLIS_PER_SECOND / rowsPerSecond);
            window.answered(slowest);
        }
        return slowest - storeMillis;
    }

    private long lastWait(int rounds, long storeMillis, double rowsPerSecond) {
        long wait = 0;
        for (int i = 0; i < rounds; i++) {
            wait = round(storeMillis, rowsPerSecond);
        }
        return wait;
    }

    @Test
    void aFastLinkIsUsedWhole() {
        lastWait(8, 4, 1_000_000);
        assertThat(window.rowsOfRead(READS)).isEqualTo(500);
    }

    @Test
    void otherCallsWaitAShortTimeBehindReadsOnASlowLink() {
        for (int rowsPerSecond : new int[] {50, 300, 3_000}) {
            assertThat(lastWait(20, 4, rowsPerSecond)).isBetween(40L, 400L);
        }
    }

    @Test
    void aSlowStoreIsNoSlowLink() {
        lastWait(6, 4, 100_000);
        lastWait(14, 600, 100_000);
        assertThat(window.rows()).isGreaterThan(1_000);
    }

    @Test
    void readsThatFailAreFollowedByFewer() {
        int before = window.rows();
        for (int i = 0; i < READS; i++) {
            window.sent();
        }
        for (int i = 0; i < READS; i++) {
            window.failed();
        }
        assertThat(window.rows()).isEqualTo(before / 2);
    }

    @Test
    void aFewReadsShareTheWindow() {
        assertThat(window.rowsOfRead(2)).isEqualTo(window.rows() / 2);
    }
}
