package org.chervillift.daemon.requests;

import java.util.ArrayDeque;
import java.util.Queue;
import org.chervillift.api.Checks;

/** Bounds the bytes that bodies may take up together. Confined to one thread. */
public final class MemoryBudget {

    private final long most;
    private final Queue<Waiter> waiters = new ArrayDeque<>();
    private long taken;

    /** Creates a budget of so many bytes. */
    public MemoryBudget(long most) {
        this.most = Checks.inRange("most", most, 1, Long.MAX_VALUE);
    }

    /** Takes bytes, or returns false where there are not enough left. */
    public boolean tryTake(long bytes) {
        Checks.notNegative("bytes", bytes);
        if (bytes > most - taken || !waiters.isEmpty()) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /**
     * Takes bytes as soon as there are enough, in the order of asking.
     *
     * @param bytes how many, at most the whole budget
     * @param onTaken run once the bytes are taken
     */
    public void take(long bytes, Runnable onTaken) {
        Checks.inRange("bytes", bytes, 0, most);
        if (tryTake(bytes)) {
            onTaken.run();
        } else {
            waiters.add(new Waiter(bytes, onTaken));
        }
    }

    /** Gives bytes back. */
    public void giveBack(long bytes) {
        taken -= Checks.inRange("bytes", bytes, 0, taken);
        while (!waiters.isEmpty() && waiters.peek().bytes() <= most - taken) {
            Waiter next = waiters.poll();
            taken += next.bytes();
            next.onTaken().run();
        }
    }

    /** Returns the bytes that are taken. */
    public long taken() {
        return taken;
    }

    private record Waiter(long bytes, Runnable onTaken) {}
}
