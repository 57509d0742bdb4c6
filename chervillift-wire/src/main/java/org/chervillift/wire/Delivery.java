package org.chervillift.wire;

/** What a full send queue may do with a message. */
public enum Delivery {
    /** Newer advice replaces it: the oldest goes when the queue is full. */
    ADVICE,
    /** It is never dropped for a later message; it is refused when the queue is full. */
    TRANSFER
}
