package org.chervillift.api.fleet;

/** What a maintenance wave is doing. */
public enum WaveState {
    /** It takes VMs out, reboots them and brings them back. */
    RUNNING,
    /** It takes no further VM out; VMs that are out are brought back. */
    PAUSED,
    /** An operator ended it; VMs that are out are brought back. */
    ABANDONED,
    /** Every VM of it was maintained or skipped. */
    DONE
}
