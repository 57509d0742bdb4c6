package org.chervillift.bench.limits;

/** What is wrong on purpose in a run, to show that the checks see it. */
public enum Variant {
    /** Nothing is wrong. */
    RIGHT,
    /** Leases are reclaimed as soon as they end, without waiting for work that still runs. */
    RECLAIM_AT_ONCE,
    /** Permits come into use before the platform has answered the write. */
    CREDIT_FIRST,
    /** The lease is not checked again before the send. */
    NO_LAST_CHECK,
    /** A lowered limit is not told to the entry VMs. */
    LOWERING_IGNORED
}
