package org.chervillift.core.membership.internal;

import java.time.Instant;
import java.util.Optional;

/** Remembers when the latest heartbeats were sent. */
public final class SentHeartbeats {

    private static final int CAPACITY = 64;

    private final Instant[] sentAt = new Instant[CAPACITY];
    private long sequence;

    /** Returns the sequence of a new heartbeat. */
    public long recordNext(Instant now) {
        sequence++;
        sentAt[index(sequence)] = now;
        return sequence;
    }

    /** Returns when a heartbeat was sent, if that is still known. */
    public Optional<Instant> sentAt(long echoed) {
        if (echoed < 1 || echoed > sequence || echoed <= sequence - CAPACITY) {
            return Optional.empty();
        }
        return Optional.of(sentAt[index(echoed)]);
    }

    private static int index(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
