package org.chervillift.api.fleet;

/** What a VM is doing, as its row says. */
public enum VmState {
    /** It takes work. */
    IN_SERVICE,
    /** It takes no new work and finishes what it has, for a wave or an operator. */
    DRAINING,
    /** It is being rebooted. */
    REBOOTING,
    /** It takes no new work and finishes what it has, before it moves to another pool. */
    MOVING,
    /** It is let back in, but has not been seen to take work. */
    RETURNING,
    /** It has moved to its pool and has not taken work there; it is not in the budget yet. */
    JOINING,
    /** It failed. */
    FAILED,
    /** An operator took it out. */
    OUT;

    /** Returns whether entry VMs may send it new work. */
    public boolean takesWork() {
        return this == IN_SERVICE;
    }
}
