package org.chervillift.daemon.tasks;

import org.apache.logging.log4j.Level;
import org.chervillift.runtime.events.Event;
import org.chervillift.runtime.events.EventKind;

/** The log events of job requests, the fleet lease, tasks, workers and VMs. */
public enum TaskEvent implements Event {
    /** The process is starting. */
    STARTING(7001, Level.INFO, "The process is starting."),
    /** The process listens. */
    LISTENING(7006, Level.INFO, "The process listens at its addresses."),
    /** The process accepts new connections. */
    READY(7007, Level.INFO, "The process is ready for new connections."),
    /** The process accepts no new connections. */
    NOT_READY(7008, Level.WARN, "The process is not ready for new connections."),
    /** The event loop runs nothing. */
    LOOP_HELD_UP(7009, Level.ERROR, "The event loop is held up; nothing is answered meanwhile."),
    /** The process is shutting down. */
    STOPPING(7002, Level.INFO, "The process is shutting down."),
    /** The process has shut down. */
    STOPPED(7003, Level.INFO, "The process has shut down."),
    /** The settings file was reloaded. */
    SETTINGS_RELOADED(7004, Level.INFO, "The settings file was reloaded."),
    /** Reading or following a table fails. */
    TABLE_UNAVAILABLE(7010, Level.WARN, "A table of the store cannot be read or followed."),
    /** A table was read whole. */
    TABLE_LOADED(7011, Level.INFO, "A table of the store was read; its changes are now followed."),
    /** The store no longer has the changes that were asked for. */
    HISTORY_LOST(
            7012, Level.WARN, "The store no longer has the change history; the table is reloaded."),
    /** A row cannot be decoded. */
    ROW_UNREADABLE(7013, Level.WARN, "A row cannot be decoded and is skipped."),
    /** The store does not respond. */
    STORE_UNAVAILABLE(
            7015, Level.WARN, "The store does not respond; requests are refused immediately."),
    /** The store responds again. */
    STORE_AVAILABLE(7016, Level.INFO, "The store responds again."),
    /** This process uses a newer manifest. */
    MANIFEST_ADOPTED(7014, Level.INFO, "This process uses a newer manifest."),
    JOBS_REMOVED(7017, Level.INFO, "Rows of finished jobs were deleted."),
    /** A request about jobs was answered. */
    REQUEST_ANSWERED(7020, Level.INFO, "A request about a job was answered."),
    /** A request about a job failed. */
    REQUEST_FAILED(7021, Level.WARN, "A request about a job failed."),
    /** This process acquired the fleet lease. */
    LEASE_ACQUIRED(
            7030, Level.INFO, "This process acquired the fleet lease and sends orders to workers."),
    /** This process lost the fleet lease, or a worker rejected its fencing token. */
    LEASE_LOST(7031, Level.WARN, "This process may no longer send orders to workers."),
    /** Writing the fleet lease failed. */
    LEASE_WRITE_FAILED(7032, Level.WARN, "The fleet lease could not be written to the store."),
    /** Storing the progress of jobs failed. */
    PROGRESS_NOT_STORED(
            7033, Level.WARN, "The progress of jobs could not be stored; the write is retried."),
    /** The progress of a job has become large. */
    PROGRESS_IN_PARTS(
            7082, Level.INFO, "The progress of a large job is stored in parts from now on."),
    /** A row of progress does not fit in a row of the store. */
    PROGRESS_TOO_LARGE(
            7083,
            Level.ERROR,
            "A part of the progress of a job fits in no row of the store; it is not stored."),
    /** The holder has read all stored jobs. */
    HOLDER_READY(
            7034, Level.INFO, "The holder has read all jobs and the workers of its predecessor."),
    /** Another process may hold the lease by now. */
    LEASE_UNCERTAIN(
            7035,
            Level.WARN,
            "The fleet lease may have expired; the job board is not used for answers."),
    /** The lease was renewed late, but in time. */
    LEASE_CONFIRMED(7036, Level.INFO, "The lease was renewed before another process took it."),
    /** Cancellations, notices of workers or evacuations may not be known to this process. */
    STARTS_SUSPENDED(
            7037,
            Level.WARN,
            "Changes of jobs, workers or operator's rows are not received; no task is started."),
    /** Changes of the jobs, the workers and the operator's rows are received again. */
    STARTS_RESUMED(
            7038,
            Level.INFO,
            "Changes of jobs, workers and operator's rows are received again; tasks are started."),
    /** The store's clock has started anew or was set. */
    STORE_CLOCK_CHANGED(
            7080,
            Level.WARN,
            "The store's clock has started anew or was set; its time is corrected."),
    /** Jobs have nothing running, although workers have room. */
    WORK_STANDS_STILL(
            7070,
            Level.WARN,
            "Jobs stand still: a worker has room, and a task of them that could run does not."),
    /** No job stands still any more. */
    WORK_GOES_ON(7071, Level.INFO, "No job stands still any more."),
    /** The holder has not read all jobs for long. */
    HOLDER_NOT_READY(7076, Level.WARN, "The holder has not read all jobs yet; no task starts."),
    /** Another process holds the lease, or this process may or may not take it now. */
    LEASE_SEEN(7075, Level.INFO, "What this process knows of the fleet lease has changed."),
    /** Submissions are rejected; logged once in a while for each cause. */
    SUBMISSIONS_REJECTED(
            7097,
            Level.WARN,
            "Submitted jobs are rejected: they cannot be served, or not in time."),
    /** No submission has been rejected for a while. */
    REJECTIONS_ENDED(7098, Level.INFO, "No submitted job is rejected for this cause any more."),
    /** A worker does not respond. */
    WORKER_UNREACHABLE(7040, Level.WARN, "A worker does not respond."),
    /** A worker responds again. */
    WORKER_REACHABLE(7041, Level.INFO, "A worker responds again."),
    /** A decision on a task. */
    TASK_DECISION(7050, Level.INFO, "A task was started, stopped or has ended."),
    /** A job has ended. */
    JOB_ENDED(7051, Level.INFO, "A job has reached a final state."),
    /** A worker's lifetime or lease has changed. */
    WORKER_CHANGED(7052, Level.INFO, "A worker has a new lifetime, or its lease has expired."),
    /** A run was lost with its worker. */
    RUN_LOST(7053, Level.WARN, "A run was lost with its worker."),
    /** A worker reports what cannot be. */
    REPORT_ENTRY_IGNORED(
            7081, Level.WARN, "An entry of a worker's report names what cannot be; it is ignored."),
    /** A step waits no longer for a place in a rack. */
    RACK_WAIT_OVER(7099, Level.INFO, "A step waits no longer for a place in a rack."),
    /** A copy of a run is started, or one of both runs is done. */
    COPY_DECISION(7100, Level.INFO, "A second run of a task was started, or one of two is done."),
    /** An order for a VM was sent. */
    VM_ORDERED(
            7060,
            Level.INFO,
            "A VM was ordered to move to another pool or to undergo maintenance."),
    /** The platform's list shows a VM in another state. */
    VM_CHANGED(7062, Level.INFO, "The platform's list shows a VM in another state."),
    /** The load of a pool. */
    POOL_LOAD(7063, Level.INFO, "The load of a pool, logged once a second."),
    /** Orders for VMs were discarded before they were sent. */
    VM_ORDERS_DROPPED(7065, Level.WARN, "Orders for VMs were discarded before they were sent."),
    /** A request to the advice service failed. */
    ADVICE_FAILED(7064, Level.WARN, "A request to the advice service failed."),
    /** The reloaded settings are invalid. */
    SETTINGS_REJECTED(
            7005, Level.ERROR, "The reloaded settings contain errors and are not applied."),
    /** This process relays requests to other entry VMs. */
    RELAYING_STARTED(
            7095,
            Level.WARN,
            "Callers' requests that cannot be served here are relayed to other entry VMs."),
    /** This process relays no requests any more. */
    RELAYING_ENDED(7096, Level.INFO, "No request has been relayed for a while."),
    /** A step or a callback of what must go on has thrown. */
    CALLBACK_FAILED(
            7072, Level.ERROR, "A step or a callback has thrown; its loop goes on after a pause."),
    /** A part of the holder that must go on has not for too long. */
    LOOP_SILENT(7073, Level.ERROR, "A part of the holder that must go on has stopped."),
    /** This process gives the lease back, since its holder does not work. */
    HOLDER_REPLACED(
            7074, Level.ERROR, "The holder does not work; this process gives the lease back."),
    /** The operator's request to evacuate a data centre was read. */
    EVACUATION_BEGUN(
            7090,
            Level.INFO,
            "A data centre is evacuated at the operator's request; no task is started there."),
    /** The operator's request to evacuate a data centre is gone. */
    EVACUATION_ENDED(
            7091, Level.INFO, "A data centre is not evacuated any more; it is used again."),
    /** An evacuation does nothing, or leaves a pool without a worker. */
    EVACUATION_FINDING(
            7092,
            Level.WARN,
            "An evacuated data centre has no worker, or a pool has no worker elsewhere."),
    /** A customer is beyond its share of a pool in which customers compete, or no longer. */
    CUSTOMER_SHARE(
            7093,
            Level.INFO,
            "A customer is beyond its share of a full pool, so others go first, or no longer."),
    /** A run is stopped for an urgent task. */
    RUN_PREEMPTED(
            7094,
            Level.INFO,
            "A run is stopped so that an urgent task starts in time; its task starts again later."),
    /** A maintenance wave has begun or is completed. */
    WAVE_CHANGED(7061, Level.INFO, "A maintenance wave has begun or is completed."),
    SURGE_FORECAST(
            7101, Level.INFO, "A surge begins; VMs are provided for the size of the last one.");

    private final EventKind kind;

    TaskEvent(int number, Level level, String meaning) {
        this.kind = new EventKind(number, level, meaning);
    }

    @Override
    public EventKind kind() {
        return kind;
    }
}
