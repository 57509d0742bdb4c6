package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;

/** The platform as membership sees it: versions in force, and a list that lags. */
final class VirtualStore {

    static final Duration LIST_LAG = Duration.ofSeconds(10);

    private final TreeMap<String, ListedVm> vms = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final Set<String> cutFrom = new HashSet<>();
    private Versions inForce = Versions.NONE;
    private boolean down;

    Versions inForce() {
        return inForce;
    }

    void commit(Versions newer) {
        inForce = inForce.max(newer);
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void cut(String dataCentre) {
        cutFrom.add(dataCentre);
    }

    void healAll() {
        cutFrom.clear();
        down = false;
    }

    boolean answers(String dataCentre) {
        return !down && !cutFrom.contains(dataCentre);
    }

    void list(NodeIdentity node, Instant now) {
        vms.put(
                node.id(),
                new ListedVm(
                        node.id(),
                        ListedVm.Role.ENTRY,
                        node.dataCentre(),
                        node.address(),
                        node.address(),
                        false));
        snapshots.addLast(new Snapshot(now, new ArrayList<>(vms.values())));
    }

    void unlist(String id, Instant now) {
        vms.remove(id);
        snapshots.addLast(new Snapshot(now, new ArrayList<>(vms.values())));
    }

    List<ListedVm> shown(Instant now) {
        Instant content = now.minus(LIST_LAG);
        while (snapshots.size() > 1 && !second().at().isAfter(content)) {
            snapshots.removeFirst();
        }
        Snapshot first = snapshots.peekFirst();
        return first == null || first.at().isAfter(content) ? List.of() : first.vms();
    }

    private Snapshot second() {
        var all = snapshots.iterator();
        all.next();
        return all.next();
    }

    private record Snapshot(Instant at, List<ListedVm> vms) {}
}
