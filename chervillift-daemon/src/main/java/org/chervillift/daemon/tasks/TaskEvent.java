package org.chervillift.daemon.tasks;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The events of jobs and tasks. */
public enum TaskEvent implements Event {
    /** The process starts. */
    STARTING(7001, Level.INFO, "The process starts to serve jobs."),
    /** The process stops. */
    STOPPING(7002, Level.INFO, "The process stops to serve jobs."),
    /** The process has stopped. */
    STOPPED(7003, Level.INFO, "The process has stopped to serve jobs."),
    /** The settings were read again. */
    RELOADED(7004, Level.INFO, "The settings were read again."),
    /** A table cannot be followed. */
    TABLE_LOST(7010, Level.WARN, "A table of the store cannot be followed."),
    /** A table can be followed again. */
    TABLE_FOUND(7011, Level.INFO, "A table of the store is read and followed."),
    /** The store forgot the history of a table. */
    HISTORY_LOST(7012, Level.WARN, "The store has lost the history; the table is read whole."),
    /** A row cannot be read. */
    ROW_UNREADABLE(7013, Level.WARN, "A row cannot be read and is passed over."),
    /** The store does not answer. */
    STORE_LOST(7015, Level.WARN, "The store does not answer; requests are refused at once."),
    /** The store answers again. */
    STORE_FOUND(7016, Level.INFO, "The store answers again."),
    /** A newer manifest is in force. */
    MANIFEST(7014, Level.INFO, "A newer manifest is in force here."),
    /** A request about jobs was answered. */
    ANSWERED(7020, Level.INFO, "A request about a job was answered."),
    /** A request could not be carried out. */
    NOT_SERVED(7021, Level.WARN, "A request about a job was not served."),
    /** This process holds the fleet. */
    HOLDER_TAKEN(7030, Level.INFO, "This process gives the orders to the workers."),
    /** This process does not hold the fleet any more. */
    HOLDER_LOST(7031, Level.WARN, "This process gives no orders any more."),
    /** The lease could not be written. */
    HOLDER_WRITE_FAILED(7032, Level.WARN, "The lease on the fleet could not be written."),
    /** Progress could not be stored. */
    PROGRESS_NOT_STORED(7033, Level.WARN, "The progress of jobs could not be stored yet."),
    /** The jobs of the store are known. */
    HOLDER_READY(7034, Level.INFO, "The jobs and workers of the fleet are known."),
    /** Another process may hold the lease. */
    HOLDER_UNSURE(7035, Level.WARN, "The lease may be over; nothing is told from the board."),
    /** The lease was renewed late. */
    HOLDER_SURE(7036, Level.INFO, "The lease was renewed before another process took it."),
    /** Newer jobs and withdrawals may be unknown here. */
    STARTS_HELD(7037, Level.WARN, "Changes of the jobs do not come; no task is started."),
    /** Changes of the jobs come again. */
    STARTS_RESUMED(7038, Level.INFO, "Changes of the jobs come again; tasks are started."),
    /** A worker does not answer. */
    WORKER_LOST(7040, Level.WARN, "A worker does not answer."),
    /** A worker answers. */
    WORKER_FOUND(7041, Level.INFO, "A worker answers."),
    /** A decision on a task. */
    TASK_DECISION(7050, Level.INFO, "A task was started, stopped or has ended."),
    /** A job is over. */
    JOB_OVER(7051, Level.INFO, "A job has reached its last state."),
    /** A worker's state changed. */
    WORKER_CHANGED(7052, Level.INFO, "What is believed of a worker has changed."),
    /** An order for a VM was given. */
    VM_ORDER(7060, Level.INFO, "A VM was ordered to another pool or to maintenance."),
    /** A VM changed in the platform's list. */
    VM_CHANGED(7062, Level.INFO, "The platform lists a VM in another state."),
    /** The load of a pool. */
    POOL_LOAD(7063, Level.INFO, "The load of a pool, once a second."),
    /** Orders for VMs were not sent. */
    VM_ORDERS_DROPPED(7065, Level.WARN, "Orders for VMs were not sent."),
    /** The advice service did not answer. */
    ADVICE_FAILED(7064, Level.WARN, "The advice service did not answer a question."),
    /** Settings cannot be used. */
    RELOAD_FAILED(7005, Level.ERROR, "The settings that were read again have errors."),
    /** A wave changed. */
    WAVE(7061, Level.INFO, "A maintenance wave has changed.");

    private final EventKind kind;

    TaskEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
