package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.chervillift.api.Checks;

/**
 * The data centres that the operator wants to be evacuated, and what this means for the workers.
 *
 * <p>Addresses starts in a data centre that is to be empty: its workers take no tasks.
 */
public final class Evacuation {

    private final Collection<WorkerRecord> workers;
    private Set<String> dataCentres = Set.of();

    /** Creates an evacuation of no data centre; the workers are a view of those of the board. */
    Evacuation(Collection<WorkerRecord> workers) {
        this.workers = workers;
    }

    /** Replaces the evacuated data centres. */
    public void replace(Set<String> newest) {
        dataCentres = Set.copyOf(Checks.notNull("newest", newest));
    }

    /** Returns whether no data centre is evacuated. */
    boolean isNone() {
        return dataCentres.isEmpty();
    }

    /** Returns whether no task may be started in a data centre. */
    boolean covers(String dataCentre) {
        return dataCentres.contains(dataCentre);
    }

    /** Returns the evacuated data centres in which there is no listed worker. */
    public Set<String> dataCentresWithoutWorkers() {
        Set<String> unused = new TreeSet<>(dataCentres);
        workers.stream()
                .filter(WorkerRecord::isListed)
                .forEach(w -> unused.remove(w.entry().dataCentre()));
        return unused;
    }

    /** Returns the pools that have listed workers, all of them in evacuated data centres. */
    public Set<String> poolsWithoutOtherWorkers() {
        Set<String> evacuated = new TreeSet<>();
        Set<String> served = new HashSet<>();
        workers.stream()
                .filter(WorkerRecord::isListed)
                .forEach(w -> (w.isEvacuated() ? evacuated : served).add(w.pool()));
        evacuated.removeAll(served);
        return evacuated;
    }
}
