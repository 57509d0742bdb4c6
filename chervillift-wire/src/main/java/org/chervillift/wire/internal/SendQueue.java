package org.chervillift.wire.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.chervillift.wire.Delivery;

/** Messages that wait for one link; bounded in bytes. */
final class SendQueue {

    private final int mostBytes;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long bytes;

    SendQueue(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** Adds a message and returns how many messages were dropped, itself included. */
    int add(byte[] payload, Delivery delivery) {
        entries.addLast(new Entry(payload, delivery));
        bytes += payload.length;
        int dropped = 0;
        while (bytes > mostBytes) {
            dropped += dropOne();
        }
        return dropped;
    }

    /** Takes the oldest message. */
    Optional<byte[]> poll() {
        Entry entry = entries.pollFirst();
        if (entry == null) {
            return Optional.empty();
        }
        bytes -= entry.payload().length;
        return Optional.of(entry.payload());
    }

    /** Drops the oldest advice or, where there is none, the newest message. */
    private int dropOne() {
        Iterator<Entry> oldest = entries.iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entry.delivery() == Delivery.ADVICE) {
                oldest.remove();
                bytes -= entry.payload().length;
                return 1;
            }
        }
        bytes -= entries.removeLast().payload().length;
        return 1;
    }

    private record Entry(byte[] payload, Delivery delivery) {}
}
