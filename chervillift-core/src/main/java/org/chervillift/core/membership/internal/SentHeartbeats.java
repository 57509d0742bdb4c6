package org.chervillift.core.membership.internal;

import java.time.Instant;
import java.util.Optional;

/** The send times of the latest heartbeats. */
public final class SentHeartbeats {

    private static final int CAPACITY = 64;

    private final Instant[] sentAt = new Instant[CAPACITY];
    private long sequence;

    /** Records a new heartbeat and returns its sequence number. */
    public long recordNext(Instant now) {
        sequence++;
        sentAt[index(sequence)] = now;
        return sequence;
    }

    /** Returns the send time of a heartbeat, if it is still recorded. */
    public Optional<Instant> sentAt(long echo) {
        if (echo < 1 || echo > sequence || echo <= sequence - CAPACITY) {
            return Optional.empty();
        }
        return Optional.of(sentAt[index(echo)]);
    }

    private static int index(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
