package org.chervillift.http;

import io.activej.common.time.CurrentTimeProvider;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.chervillift.api.Checks;

/**
 * Time that starts from the wall clock and then follows the monotonic clock.
 *
 * <p>An event loop that took the wall clock would run no timer, timeout or retry after that was set
 * back, until it has caught up, and all of them at once after it was set forward.
 */
final class MonotonicTime implements CurrentTimeProvider {

    private final long startMillis;
    private final LongSupplier nanoClock;
    private final long startNanos;

    /**
     * Creates a time.
     *
     * @param startMillis the time now, in milliseconds since 1970 UTC
     * @param nanoClock the monotonic clock, in nanoseconds
     */
    MonotonicTime(long startMillis, LongSupplier nanoClock) {
        this.startMillis = startMillis;
        this.nanoClock = Checks.notNull("nanoClock", nanoClock);
        this.startNanos = nanoClock.getAsLong();
    }

    /** Returns a time that starts from the wall clock. */
    static MonotonicTime startingNow() {
        return new MonotonicTime(System.currentTimeMillis(), System::nanoTime);
    }

    @Override
    public long currentTimeMillis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - startNanos);
    }
}
