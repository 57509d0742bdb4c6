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
 * What this process knows of the fleet.
 *
 * @param config the configuration in force here
 * @param keys the keys in force here
 * @param vms the VMs, as their rows say
 * @param leaving identifiers of VMs that the list shows as leaving
 * @param entryVms the entry VMs that the list shows and that are not leaving
 * @param readAt when the platform was last read, if ever
 */
public record FleetView(
        FleetConfig config,
        KeyRing keys,
        List<VmRow> vms,
        Set<String> leaving,
        List<ListedVm> entryVms,
        Optional<Instant> readAt) {

    /** What a process knows before its first read. */
    public static final FleetView EMPTY =
            new FleetView(
                    FleetConfig.EMPTY,
                    KeyRing.EMPTY,
                    List.of(),
                    Set.of(),
                    List.of(),
                    Optional.empty());

    public FleetView {
        Checks.notNull("config", config);
        Checks.notNull("keys", keys);
        Checks.notNull("readAt", readAt);
        vms = List.copyOf(vms);
        leaving = Set.copyOf(leaving);
        entryVms = List.copyOf(entryVms);
    }

    /** Returns the view with a newer configuration, or this view if it is not newer. */
    public FleetView adopt(FleetConfig newer) {
        return newer.version() <= config.version()
                ? this
                : new FleetView(newer, keys, vms, leaving, entryVms, readAt);
    }

    /** Returns the view with a newer key ring, or this view if it is not newer. */
    public FleetView adopt(KeyRing newer) {
        return newer.version() <= keys.version()
                ? this
                : new FleetView(config, newer, vms, leaving, entryVms, readAt);
    }

    /** Returns the view with the VMs as they were read. */
    public FleetView withVms(List<VmRow> rows, List<ListedVm> listed) {
        Set<String> leavingIds =
                listed.stream()
                        .filter(ListedVm::leaving)
                        .map(ListedVm::id)
                        .collect(Collectors.toUnmodifiableSet());
        List<ListedVm> entries =
                listed.stream()
                        .filter(v -> v.role() == ListedVm.Role.ENTRY && !v.leaving())
                        .toList();
        return new FleetView(config, keys, rows, leavingIds, entries, readAt);
    }

    /** Returns the view with the moment of its last read. */
    public FleetView withReadAt(Instant now) {
        return new FleetView(config, keys, vms, leaving, entryVms, Optional.of(now));
    }
}
