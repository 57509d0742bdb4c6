package org.chervillift.http;

import io.activej.common.time.CurrentTimeProvider;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.chervillift.api.Checks;

/**
 * Time for the timers of an event loop: it starts from the wall clock and then follows the
 * monotonic clock, without the time for which the loop was held up.
 *
 * <p>An event loop that took the wall clock would run no timer, timeout or retry after that was set
 * back, until it has caught up, and all of them at once after it was set forward. A loop that was
 * held up runs its timers before it reads the answers that have come meanwhile; if all the time
 * counted, each call that was waiting would time out, whatever has been answered.
 */
final class MonotonicTime implements CurrentTimeProvider {

    /** The most that counts between two readings; longer than an idle loop waits for events. */
    static final Duration MAX_STEP = Duration.ofMillis(60);

    private final long startMillis;
    private final LongSupplier nanoClock;
    private long lastNanos;
    private long countedNanos;

    /**
     * Creates a time.
     *
     * @param startMillis the time now, in milliseconds since 1970 UTC
     * @param nanoClock the monotonic clock, in nanoseconds
     */
    MonotonicTime(long startMillis, LongSupplier nanoClock) {
        this.startMillis = startMillis;
        this.nanoClock = Checks.notNull("nanoClock", nanoClock);
        this.lastNanos = nanoClock.getAsLong();
    }

    /** Returns a time that starts from the wall clock. */
    static MonotonicTime startingNow() {
        return new MonotonicTime(System.currentTimeMillis(), System::nanoTime);
    }

    @Override
    public synchronized long currentTimeMillis() {
        long now = nanoClock.getAsLong();
        countedNanos += Math.min(now - lastNanos, MAX_STEP.toNanos());
        lastNanos = now;
        return startMillis + TimeUnit.NANOSECONDS.toMillis(countedNanos);
    }
}
