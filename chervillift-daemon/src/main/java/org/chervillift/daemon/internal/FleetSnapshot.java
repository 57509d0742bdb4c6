package org.chervillift.daemon.internal;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.ListedVm;

/**
 * The configuration, keys and VMs of the fleet as this process last read them.
 *
 * @param config the configuration that this process uses
 * @param keys the key ring that this process uses
 * @param vms the VMs that have a row in the store
 * @param leavingVmIds the identifiers of the VMs that the platform's VM list shows as leaving
 * @param entryVms the entry VMs in the platform's VM list that are not leaving
 * @param lastReadAt when the last successful read of the platform began, if there was one
 */
public record FleetSnapshot(
        FleetConfig config,
        KeyRing keys,
        List<VmRow> vms,
        Set<String> leavingVmIds,
        List<ListedVm> entryVms,
        Optional<Instant> lastReadAt) {

    /** The snapshot before the first read. */
    public static final FleetSnapshot EMPTY =
            new FleetSnapshot(
                    FleetConfig.EMPTY,
                    KeyRing.EMPTY,
                    List.of(),
                    Set.of(),
                    List.of(),
                    Optional.empty());

    public FleetSnapshot {
        Checks.notNull("config", config);
        Checks.notNull("keys", keys);
        Checks.notNull("lastReadAt", lastReadAt);
        vms = List.copyOf(vms);
        leavingVmIds = Set.copyOf(leavingVmIds);
        entryVms = List.copyOf(entryVms);
    }

    /** Returns a copy with a newer configuration, or this snapshot if it is not newer. */
    public FleetSnapshot adoptIfNewer(FleetConfig newer) {
        return newer.version() <= config.version()
                ? this
                : new FleetSnapshot(newer, keys, vms, leavingVmIds, entryVms, lastReadAt);
    }

    /** Returns a copy with a newer key ring, or this snapshot if it is not newer. */
    public FleetSnapshot adoptIfNewer(KeyRing newer) {
        return newer.version() <= keys.version()
                ? this
                : new FleetSnapshot(config, newer, vms, leavingVmIds, entryVms, lastReadAt);
    }

    /** Returns a copy with the VMs from their rows and from the platform's VM list. */
    public FleetSnapshot withVms(List<VmRow> rows, List<ListedVm> listed) {
        Set<String> leavingIds =
                listed.stream()
                        .filter(ListedVm::leaving)
                        .map(ListedVm::id)
                        .collect(Collectors.toUnmodifiableSet());
        List<ListedVm> entries =
                listed.stream()
                        .filter(v -> v.role() == ListedVm.Role.ENTRY && !v.leaving())
                        .toList();
        return new FleetSnapshot(config, keys, rows, leavingIds, entries, lastReadAt);
    }

    /** Returns a copy with the time of the last read. */
    public FleetSnapshot withLastReadAt(Instant readStartedAt) {
        return new FleetSnapshot(
                config, keys, vms, leavingVmIds, entryVms, Optional.of(readStartedAt));
    }
}
