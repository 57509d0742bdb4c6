package org.chervillift.daemon.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;

/** Chooses the upstream with the most room, in the own data centre first. */
public final class UpstreamChooser {

    private final String dataCentre;
    private final Map<String, Integer> running = new HashMap<>();

    /** Creates a chooser for a data centre. */
    public UpstreamChooser(String dataCentre) {
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
    }

    /** Returns an upstream of the pool with a free slot, other than those tried before. */
    public Optional<VmRow> choose(FleetView view, String pool, Set<String> tried) {
        return view.vms().stream()
                .filter(v -> v.pool().equals(pool))
                .filter(v -> v.state() == VmState.IN_SERVICE)
                .filter(v -> !view.leaving().contains(v.id()))
                .filter(v -> !tried.contains(v.id()))
                .filter(v -> runningAt(v) < v.slots())
                .min(Comparator.comparing(this::isElsewhere).thenComparing(this::runningAt));
    }

    /** Notes that a request starts at an upstream. */
    public void started(VmRow upstream) {
        running.merge(upstream.id(), 1, Integer::sum);
    }

    /** Notes that a request ended at an upstream. */
    public void ended(VmRow upstream) {
        running.merge(upstream.id(), -1, Integer::sum);
    }

    private boolean isElsewhere(VmRow v) {
        return !v.dataCentre().equals(dataCentre);
    }

    private int runningAt(VmRow v) {
        return running.getOrDefault(v.id(), 0);
    }
}
