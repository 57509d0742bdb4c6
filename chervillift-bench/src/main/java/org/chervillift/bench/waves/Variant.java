package org.chervillift.bench.waves;

/** What a run leaves out on purpose, to see that the invariants notice. */
public enum Variant {
    /** Nothing is left out. */
    SOUND,
    /** Transactions do not depend on the pool's row. */
    BUDGET_OUTSIDE_TRANSACTION,
    /** Transactions do not depend on the duty's row, and maintenance operations have no fence. */
    NO_FENCE
}
