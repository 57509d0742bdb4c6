package org.chervillift.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.platform.ListedVm;

/** The list of VMs, which shows the VMs as they were some time ago. */
public final class LaggingList {

    private final Map<String, ListedVm> current = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** Adds or replaces a VM. */
    public void put(ListedVm vm, Instant now) {
        current.put(vm.id(), vm);
        remember(now);
    }

    /** Removes a VM. */
    public void remove(String id, Instant now) {
        current.remove(id);
        remember(now);
    }

    /** Returns a VM as it is now, if it is listed. */
    public Optional<ListedVm> current(String id) {
        return Optional.ofNullable(current.get(id));
    }

    /** Returns the VMs as they were a lag ago. */
    public List<ListedVm> show(Instant now, Duration lag) {
        Instant moment = now.minus(lag);
        List<ListedVm> shown = List.of();
        for (Snapshot s : snapshots) {
            if (s.at().isAfter(moment)) {
                break;
            }
            shown = s.vms();
        }
        return shown;
    }

    private void remember(Instant now) {
        snapshots.addLast(new Snapshot(now, new ArrayList<>(current.values())));
        Instant oldest = now.minus(Duration.ofMinutes(10));
        while (snapshots.size() > 1 && snapshots.peekFirst().at().isBefore(oldest)) {
            snapshots.removeFirst();
        }
    }

    private record Snapshot(Instant at, List<ListedVm> vms) {}
}
