package org.chervillift.standin.tasks;

import org.chervillift.api.Checks;

/**
 * An order to move a VM that was answered well.
 *
 * @param vm the VM
 * @param pool the pool that it goes to
 * @param term the holder's term
 * @param atMillis when it was ordered, in milliseconds
 */
public record SeenMove(String vm, String pool, long term, long atMillis) {
    public SeenMove {
        Checks.notBlank("vm", vm);
        Checks.notBlank("pool", pool);
    }
}
