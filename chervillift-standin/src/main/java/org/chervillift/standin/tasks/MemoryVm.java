package org.chervillift.standin.tasks;

import java.util.Optional;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.WorkerEntry;

/** One VM of the fleet in memory, with its present worker. Used by one thread. */
final class MemoryVm {

    private final WorkerEntry template;
    private String pool;
    private Status status = Status.UP;
    private Optional<MemoryWorker> worker = Optional.empty();
    private int lifetimes;
    private long fence;

    /**
     * Creates a VM that is up and runs no worker.
     *
     * @param template what its first worker says of itself
     */
    MemoryVm(WorkerEntry template) {
        this.template = template;
        this.pool = template.pool();
    }

    String name() {
        return template.vm();
    }

    String pool() {
        return pool;
    }

    Status status() {
        return status;
    }

    Optional<MemoryWorker> worker() {
        return worker;
    }

    /** Returns whether the token is not lower than the greatest seen, and remembers it. */
    boolean pass(long token) {
        if (token < fence) {
            return false;
        }
        fence = token;
        return true;
    }

    /** Returns what the next lifetime of its worker says of itself. */
    WorkerEntry nextEntry(long nowMillis) {
        lifetimes++;
        String id = lifetimes == 1 ? template.id() : template.id() + "-" + lifetimes;
        return entryOf(id, nowMillis);
    }

    /** Returns what a lifetime of its worker under an identifier says of itself. */
    WorkerEntry entryOf(String id, long nowMillis) {
        return new WorkerEntry(
                id,
                nowMillis,
                template.vm(),
                pool,
                template.address(),
                template.dataCentre(),
                false,
                0,
                template.capacity(),
                template.labels());
    }

    void setWorker(MemoryWorker newWorker) {
        worker = Optional.of(newWorker);
    }

    /** Takes it down for a while; what it ran is gone. */
    void leave(Status reason) {
        status = reason;
        worker.ifPresent(MemoryWorker::crash);
        worker = Optional.empty();
    }

    void comeBack(String newPool) {
        pool = newPool;
        status = Status.UP;
    }

    ListedFleetVm listed() {
        boolean down = worker.map(MemoryWorker::isCrashed).orElse(false);
        return new ListedFleetVm(
                name(),
                pool,
                down ? Status.DOWN : status,
                template.dataCentre(),
                template.labels(),
                template.capacity(),
                down ? "" : worker.map(w -> w.entry().id()).orElse(""));
    }
}
