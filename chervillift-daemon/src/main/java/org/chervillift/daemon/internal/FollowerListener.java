package org.chervillift.daemon.internal;

import java.time.Instant;
import java.util.List;
import org.chervillift.api.platform.ListedVm;

/** Told of what the platform answers. */
public interface FollowerListener {

    /** Does nothing. */
    FollowerListener NONE =
            new FollowerListener() {
                @Override
                public void storeRead(Instant startedAt) {}

                @Override
                public void listRead(List<ListedVm> vms, Instant startedAt) {}
            };

    /** All versions that were in force when the read began are in force in this process. */
    void storeRead(Instant startedAt);

    /** The list of VMs was read. */
    void listRead(List<ListedVm> vms, Instant startedAt);
}
