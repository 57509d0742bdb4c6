package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.HolderElection;
import org.chervillift.core.tasks.HolderElection.Decision;
import org.chervillift.core.tasks.HolderRow;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Takes and keeps the lease of the fleet's holder, and runs the holder's work meanwhile. */
final class HolderDuty implements TableFollower.Listener {

    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration RELEASE_PAUSE = Duration.ofMillis(30);
    private static final int RELEASE_TRIES = 8;
    private static final Duration FAILED_PAUSE = Duration.ofMillis(300);

    private final RowStore store;
    private final Scheduler scheduler;
    private final HolderElection election;
    private final TableFollower follower;
    private final LongFunction<TaskHolder> holders;
    private Optional<TaskHolder> holder = Optional.empty();
    private long termVersion;
    private long takenAt;
    private long pausedUntil = Long.MIN_VALUE;
    private Optional<HolderRow> tried = Optional.empty();
    private long firstTriedAt;
    private boolean unsure;
    private boolean writing;
    private boolean stopped;

    HolderDuty(
            RowStore store,
            Scheduler scheduler,
            HolderElection election,
            LongFunction<TaskHolder> holders) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.election = Checks.notNull("election", election);
        this.holders = Checks.notNull("holders", holders);
        this.follower =
                new TableFollower(
                        store,
                        JobRows.HOLDER,
                        List.of(JobRows.HOLDER_PART),
                        TableFollower.USUAL_WAIT,
                        scheduler,
                        this);
    }

    void start() {
        follower.start();
        tick();
    }

    /** Ends the holder's work, and gives the lease back once no write of it is under way. */
    void stop() {
        stopped = true;
        follower.stop();
        holder.ifPresent(TaskHolder::stop);
        holder = Optional.empty();
        release(RELEASE_TRIES);
    }

    private void release(int tries) {
        if (writing) {
            scheduler.schedule(RELEASE_PAUSE, () -> release(tries));
            return;
        }
        Optional<Decision.Write> release = election.release();
        if (release.isEmpty() || tries == 0) {
            return;
        }
        writing = true;
        long sentAt = now();
        commit(release.get())
                .whenComplete(
                        (outcome, fault) -> {
                            writing = false;
                            if (fault == null) {
                                written(release.get(), outcome, sentAt);
                            }
                            scheduler.schedule(RELEASE_PAUSE, () -> release(tries - 1));
                        });
    }

    Optional<TaskHolder> holder() {
        return holder;
    }

    /** Returns the holder's work, unless another process may hold the lease by our own clock. */
    Optional<TaskHolder> sureHolder() {
        return holder.filter(h -> election.isLeaseValidFor(0, now()));
    }

    HolderElection election() {
        return election;
    }

    /** Returns the version of the row that only a new holder changes. */
    long termVersion() {
        return termVersion;
    }

    private long now() {
        return scheduler.now().toEpochMilli();
    }

    @Override
    public void loaded(List<Row> rows) {
        Optional<Row> lease = rows.stream().filter(r -> r.key().equals(JobRows.LEASE)).findFirst();
        termVersion =
                rows.stream()
                        .filter(r -> r.key().equals(JobRows.TERM))
                        .mapToLong(Row::version)
                        .findFirst()
                        .orElse(termVersion);
        election.observe(
                lease.map(r -> Json.decode(r.value(), HolderRow.class)),
                lease.map(Row::version).orElse(0L),
                now());
        checkHeld();
    }

    @Override
    public void changed(List<Change> changes) {
        for (Change change : changes) {
            if (change.key().equals(JobRows.LEASE)) {
                election.observe(
                        change.value().map(v -> Json.decode(v, HolderRow.class)),
                        change.version(),
                        now());
            } else if (change.key().equals(JobRows.TERM)) {
                termVersion = Math.max(termVersion, change.version());
            }
        }
        checkHeld();
        act();
    }

    private void tick() {
        if (stopped) {
            return;
        }
        noteSure();
        act();
        scheduler.schedule(TICK, this::tick);
    }

    /** Logs when the lease may be over, and when it has been renewed in spite of that. */
    private void noteSure() {
        boolean before = unsure;
        unsure = holder.isPresent() && sureHolder().isEmpty();
        if (unsure != before && holder.isPresent()) {
            EventLog.log(
                    unsure ? TaskEvent.HOLDER_UNSURE : TaskEvent.HOLDER_SURE,
                    Field.of("term", holder.get().term()),
                    Field.of("renewalAgeMillis", now() - election.lastRenewedAt()));
        }
    }

    private void act() {
        if (stopped || writing || !follower.isLoaded() || now() < pausedUntil) {
            return;
        }
        if (holder.flatMap(TaskHolder::board).isPresent()) {
            election.finishReading(true);
        }
        if (election.decide(now()) instanceof Decision.Write write) {
            writing = true;
            long sentAt = now();
            commit(write)
                    .whenComplete(
                            (outcome, fault) -> {
                                writing = false;
                                if (fault != null) {
                                    writeFailed(fault);
                                } else {
                                    written(write, outcome, sentAt);
                                }
                            });
        }
    }

    private CompletionStage<Outcome> commit(Decision.Write write) {
        if (!tried.equals(Optional.of(write.row()))) {
            tried = Optional.of(write.row());
            firstTriedAt = now();
        }
        String value = Json.encode(write.row());
        Condition leaseAsKnown = new Condition(JobRows.LEASE, write.version());
        Write lease = Write.put(JobRows.LEASE, value);
        if (!write.takeover()) {
            return store.commit(JobRows.HOLDER_PART, List.of(leaseAsKnown), List.of(lease));
        }
        return store.commit(
                JobRows.HOLDER_PART,
                List.of(leaseAsKnown, new Condition(JobRows.TERM, termVersion)),
                List.of(lease, Write.put(JobRows.TERM, value)));
    }

    private void writeFailed(Throwable fault) {
        pausedUntil = now() + FAILED_PAUSE.toMillis();
        EventLog.log(TaskEvent.HOLDER_WRITE_FAILED, Field.of("why", fault.getMessage()));
    }

    private void written(Decision.Write write, Outcome outcome, long sentAt) {
        switch (outcome) {
            case Outcome.Committed c -> {
                if (write.takeover()) {
                    termVersion = c.version();
                }
                election.writeSucceeded(write.row(), c.version(), sentAt, now());
            }
            case Outcome.Conflict conflict -> {
                for (Row row : conflict.current()) {
                    if (row.key().equals(JobRows.LEASE)) {
                        HolderRow current = Json.decode(row.value(), HolderRow.class);
                        if (current.equals(write.row())) {
                            // An earlier try of this write took effect, perhaps the first.
                            election.writeSucceeded(current, row.version(), firstTriedAt, now());
                        } else {
                            election.observe(Optional.of(current), row.version(), now());
                        }
                    } else if (row.key().equals(JobRows.TERM)) {
                        termVersion = Math.max(termVersion, row.version());
                    }
                }
            }
        }
        checkHeld();
    }

    /** Starts or ends the holder's work as the lease says. */
    private void checkHeld() {
        Optional<Long> term = election.heldTerm();
        if (holder.isPresent() && !term.equals(holder.map(TaskHolder::term))) {
            EventLog.log(
                    TaskEvent.HOLDER_LOST,
                    Field.of("term", holder.get().term()),
                    Field.of("heldMillis", now() - takenAt),
                    Field.of("renewalAgeMillis", now() - election.lastRenewedAt()),
                    Field.of("wasReady", holder.get().board().isPresent()));
            election.finishReading(holder.get().board().isPresent());
            holder.get().stop();
            holder = Optional.empty();
        }
        if (holder.isEmpty() && term.isPresent() && !stopped) {
            takenAt = now();
            EventLog.log(
                    TaskEvent.HOLDER_TAKEN,
                    Field.of("term", term.get()),
                    Field.of("writeMillis", now() - firstTriedAt));
            election.startReading();
            TaskHolder next = holders.apply(term.get());
            holder = Optional.of(next);
            next.start();
        }
    }
}
