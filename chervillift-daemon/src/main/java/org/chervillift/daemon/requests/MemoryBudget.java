package org.chervillift.daemon.requests;

import java.util.ArrayDeque;
import java.util.Queue;
import org.chervillift.api.Checks;

/** Bounds the bytes that bodies may take up together. Confined to one thread. */
public final class MemoryBudget {

    private final long capacityBytes;
    private final Queue<Waiter> waiters = new ArrayDeque<>();
    private long reservedBytes;

    /** Creates a budget of so many bytes. */
    public MemoryBudget(long most) {
        this.capacityBytes = Checks.inRange("most", most, 1, Long.MAX_VALUE);
    }

    /** Takes bytes, or returns false where there are not enough left. */
    public boolean tryReserve(long bytes) {
        Checks.notNegative("bytes", bytes);
        if (bytes > capacityBytes - reservedBytes || !waiters.isEmpty()) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Takes bytes as soon as there are enough, in the order of asking.
     *
     * @param bytes how many, at most the whole budget
     * @param onTaken run once the bytes are taken
     */
    public void reserve(long bytes, Runnable onTaken) {
        Checks.inRange("bytes", bytes, 0, capacityBytes);
        if (tryReserve(bytes)) {
            onTaken.run();
        } else {
            waiters.add(new Waiter(bytes, onTaken));
        }
    }

    /** Gives bytes back. */
    public void release(long bytes) {
        reservedBytes -= Checks.inRange("bytes", bytes, 0, reservedBytes);
        while (!waiters.isEmpty() && waiters.peek().bytes() <= capacityBytes - reservedBytes) {
            Waiter next = waiters.poll();
            reservedBytes += next.bytes();
            next.onReserved().run();
        }
    }

    /** Returns the bytes that are taken. */
    public long reservedBytes() {
        return reservedBytes;
    }

    private record Waiter(long bytes, Runnable onReserved) {}
}
