package org.chervillift.daemon.requests;

import java.util.ArrayDeque;
import java.util.Queue;
import org.chervillift.api.Checks;

/** Limits the total memory of message bodies. Confined to one thread. */
public final class MemoryBudget {

    private final long capacityBytes;
    private final Queue<Waiter> waiters = new ArrayDeque<>();
    private long reservedBytes;

    /**
     * Creates a budget.
     *
     * @param most the capacity in bytes
     */
    public MemoryBudget(long most) {
        this.capacityBytes = Checks.inRange("most", most, 1, Long.MAX_VALUE);
    }

    /** Reserves bytes, or returns false if too few are left or others are waiting. */
    public boolean tryReserve(long bytes) {
        Checks.notNegative("bytes", bytes);
        if (bytes > capacityBytes - reservedBytes || !waiters.isEmpty()) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Reserves bytes as soon as enough are free, in first-come order.
     *
     * @param bytes the number of bytes, at most the capacity
     * @param onReserved runs once the bytes are reserved
     */
    public void reserve(long bytes, Runnable onReserved) {
        Checks.inRange("bytes", bytes, 0, capacityBytes);
        if (tryReserve(bytes)) {
            onReserved.run();
        } else {
            waiters.add(new Waiter(bytes, onReserved));
        }
    }

    /** Releases reserved bytes and serves the waiters that now fit. */
    public void release(long bytes) {
        reservedBytes -= Checks.inRange("bytes", bytes, 0, reservedBytes);
        while (!waiters.isEmpty() && waiters.peek().bytes() <= capacityBytes - reservedBytes) {
            Waiter next = waiters.poll();
            reservedBytes += next.bytes();
            next.onReserved().run();
        }
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    private record Waiter(long bytes, Runnable onReserved) {}
}
