package org.chervillift.standin.tasks;

import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.WorkerEntry;

/** Writes the rows with which workers register. */
@FunctionalInterface
public interface WorkerRows {

    /**
     * Returns the write that registers a worker.
     *
     * @param entry what it says of itself
     * @param sequence counts its heartbeats
     */
    Write row(WorkerEntry entry, long sequence);
}
