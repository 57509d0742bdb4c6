package org.chervillift.core.tasks.relay;

/** Why an entry VM cannot serve a request that another one may be able to serve. */
public enum RelayCause {
    /** The store does not respond to this entry VM. */
    STORE_UNRESPONSIVE,
    /** The configuration of this entry VM may be out of date, or none has been read. */
    CONFIGURATION_OUTDATED,
    /** The store answered the write of this entry VM with "nothing was done". */
    NOT_WRITTEN,
    /** This entry VM already handles as many relayed requests as it may. */
    BUSY
}
