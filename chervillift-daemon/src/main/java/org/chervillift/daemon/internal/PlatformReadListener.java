package org.chervillift.daemon.internal;

import java.time.Instant;
import java.util.List;
import org.chervillift.api.platform.ListedVm;

/** Receives the results of successful reads of the platform. */
public interface PlatformReadListener {

    /** A listener that does nothing. */
    PlatformReadListener NONE =
            new PlatformReadListener() {
                @Override
                public void onStoreRead(Instant startedAt) {}

                @Override
                public void onVmListRead(List<ListedVm> vms, Instant startedAt) {}
            };

    /**
     * Called after this process has read configuration and keys from the store and adopted all
     * versions that were current when the read began.
     */
    void onStoreRead(Instant startedAt);

    /** Called after the platform's VM list was read. */
    void onVmListRead(List<ListedVm> vms, Instant startedAt);
}
