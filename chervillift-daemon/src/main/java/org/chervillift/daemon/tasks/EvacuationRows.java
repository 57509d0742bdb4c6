package org.chervillift.daemon.tasks;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Keeps the operator's requests to evacuate data centres, each until its row is deleted. */
final class EvacuationRows {

    private final Map<String, String> dataCentresByKey = new LinkedHashMap<>();
    private Set<String> dataCentres = Set.of();

    /** Returns the data centres to evacuate, as of the last call of {@link #publish}. */
    Set<String> dataCentres() {
        return dataCentres;
    }

    void put(String key, String dataCentre) {
        dataCentresByKey.put(key, dataCentre);
    }

    /** Forgets a deleted row. */
    void remove(String key) {
        dataCentresByKey.remove(key);
    }

    /** Forgets all rows, before the table is read again: a row that is then absent is withdrawn. */
    void clear() {
        dataCentresByKey.clear();
    }

    /** Puts the rows read since the last call in force, and logs what has changed. */
    void publish() {
        Set<String> newest = Set.copyOf(dataCentresByKey.values());
        Set<String> before = dataCentres;
        dataCentres = newest;
        logAdded(TaskEvent.EVACUATION_BEGUN, before, newest);
        logAdded(TaskEvent.EVACUATION_ENDED, newest, before);
    }

    private static void logAdded(TaskEvent event, Set<String> without, Set<String> with) {
        Set<String> added = new TreeSet<>(with);
        added.removeAll(without);
        added.forEach(d -> EventLog.log(event, Field.of("dataCentre", d)));
    }
}
