package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.HolderElection;
import org.chervillift.core.tasks.HolderElection.Decision;
import org.chervillift.core.tasks.HolderElection.LeaseView;
import org.chervillift.core.tasks.HolderHealth;
import org.chervillift.core.tasks.HolderReplacement;
import org.chervillift.core.tasks.HolderRow;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Acquires, renews and releases the fleet lease, and runs a controller while this holds it. */
final class HolderLeaseManager implements TableFollower.Listener {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration RELEASE_RETRY_DELAY = Duration.ofMillis(30);
    private static final int MAX_RELEASE_TRIES = 8;
    private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(300);

    private static final String START = "start of the holder";

    private final MonitoredStore store;
    private final Supervision supervision;
    private final Scheduler scheduler;
    private final HolderElection election;
    private final TableFollower follower;
    private final LongFunction<HolderController> holderFactory;
    private final TaskMetrics metrics;
    private final HolderReplacement replacement = new HolderReplacement();
    private Optional<HolderController> holder = Optional.empty();
    private long termVersion;
    private long acquiredAt;
    private long lastWriteFailureAt = Long.MIN_VALUE;
    private Optional<HolderRow> lastTriedRow = Optional.empty();
    private long firstTriedAt;
    private boolean leaseUncertain;
    private boolean writing;
    private long lastWriteSentAt;
    private Optional<LoggedView> lastLoggedView = Optional.empty();
    private boolean silenceLogged;
    private boolean givingUp;
    private boolean stopped;

    HolderLeaseManager(
            MonitoredStore store,
            Supervision supervision,
            HolderElection election,
            LongFunction<HolderController> holderFactory,
            TaskMetrics metrics) {
        this.store = Checks.notNull("store", store);
        this.supervision = Checks.notNull("supervision", supervision);
        this.scheduler = supervision.scheduler();
        this.election = Checks.notNull("election", election);
        this.holderFactory = Checks.notNull("holderFactory", holderFactory);
        this.metrics = Checks.notNull("metrics", metrics);
        this.follower =
                new TableFollower(
                        store,
                        StoreLayout.HOLDER_TABLE,
                        List.of(StoreLayout.HOLDER_PARTITION),
                        TableFollower.DEFAULT_POLL_WAIT,
                        supervision,
                        store::clock,
                        this);
    }

    void start() {
        follower.start();
        supervision.repeat("lease", TICK_INTERVAL, () -> stopped, this::tick);
    }

    /** Stops the controller, and releases the lease once no lease write is in progress. */
    void stop() {
        stopped = true;
        follower.stop();
        holder.ifPresent(HolderController::stop);
        holder = Optional.empty();
        release(MAX_RELEASE_TRIES);
    }

    private void release(int tries) {
        if (writing) {
            scheduler.schedule(RELEASE_RETRY_DELAY, () -> release(tries));
            return;
        }
        Optional<Decision.Write> release = election.release();
        if (release.isEmpty() || tries == 0) {
            return;
        }
        writing = true;
        long sentAt = nowMillis();
        Runnable retry = () -> scheduler.schedule(RELEASE_RETRY_DELAY, () -> release(tries - 1));
        supervision.whenAnswered(
                "lease",
                commit(release.get()),
                (outcome, fault) -> {
                    writing = false;
                    if (fault == null) {
                        onWriteOutcome(release.get(), outcome, sentAt);
                    }
                    retry.run();
                },
                retry);
    }

    Optional<HolderController> holder() {
        return holder;
    }

    /** Returns the controller, unless the lease may have expired by this process's clock. */
    Optional<HolderController> holderWithValidLease() {
        return holder.filter(h -> election.isLeaseValidFor(0, nowMillis()));
    }

    HolderElection election() {
        return election;
    }

    /** Returns what this process knows of the lease, once it has read its row. */
    Optional<LeaseView> leaseView() {
        return follower.isLoaded() ? Optional.of(election.view(nowMillis())) : Optional.empty();
    }

    /** Returns how long a write of the lease has not been answered; 0 if none is under way. */
    long openWriteMillis() {
        return writing ? nowMillis() - lastWriteSentAt : 0;
    }

    /** Returns the version of the term row, which changes only when a new holder takes over. */
    long termVersion() {
        return termVersion;
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    @Override
    public void loaded(List<Row> rows) {
        Optional<Row> lease =
                rows.stream().filter(r -> r.key().equals(StoreLayout.LEASE_KEY)).findFirst();
        termVersion =
                rows.stream()
                        .filter(r -> r.key().equals(StoreLayout.TERM_KEY))
                        .mapToLong(Row::version)
                        .findFirst()
                        .orElse(termVersion);
        election.observe(
                lease.map(r -> Json.decode(r.value(), HolderRow.class)),
                lease.map(Row::version).orElse(0L),
                nowMillis());
        startOrStopHolder();
    }

    @Override
    public void changed(List<Change> changes) {
        for (Change change : changes) {
            if (change.key().equals(StoreLayout.LEASE_KEY)) {
                election.observe(
                        change.value().map(v -> Json.decode(v, HolderRow.class)),
                        change.version(),
                        nowMillis());
            } else if (change.key().equals(StoreLayout.TERM_KEY)) {
                termVersion = Math.max(termVersion, change.version());
            }
        }
        startOrStopHolder();
        writeLeaseIfDue();
    }

    private void tick() {
        logLeaseCertainty();
        leaseView().ifPresent(this::logLeaseView);
        replaceSilentHolder();
        election.recordStoreReadable(follower.hasAnswerSince(lastWriteFailureAt), nowMillis());
        writeLeaseIfDue();
    }

    /** What the last line about the lease said, but for its age. */
    private record LoggedView(String vm, long term, HolderElection.Standing standing) {}

    /** Logs who holds the lease and whether this process may take it, when that has changed. */
    private void logLeaseView(LeaseView view) {
        LoggedView seen = new LoggedView(view.vm(), view.term(), view.standing());
        if (lastLoggedView.equals(Optional.of(seen))) {
            return;
        }
        lastLoggedView = Optional.of(seen);
        EventLog.log(
                TaskEvent.LEASE_SEEN,
                Field.of("holderVm", view.vm()),
                Field.of("term", view.term()),
                Field.of("standing", view.standing()),
                Field.of("unchangedMillis", view.unchangedMillis()),
                Field.of("openWriteMillis", openWriteMillis()));
    }

    /** Gives the lease up once a part of the holder has stopped: the lease alone says nothing. */
    private void replaceSilentHolder() {
        Optional<HolderHealth.Silence> silence = holder.flatMap(HolderController::silence);
        if (silence.isPresent() && !silenceLogged) {
            EventLog.log(
                    TaskEvent.LOOP_SILENT,
                    Field.of("part", silence.get().part()),
                    Field.of("millis", silence.get().millis()),
                    Field.of("term", holder.get().term()));
        }
        silenceLogged = silence.isPresent();
        if (silence.isPresent() && replacement.mayReplace(acquiredAt, nowMillis())) {
            giveUp(silence.get().part());
        }
    }

    /**
     * Stops the controller, and releases the lease as soon as it can be written. The next holder,
     * here or elsewhere, has a new term and reads everything anew.
     */
    private void giveUp(String part) {
        EventLog.log(
                TaskEvent.HOLDER_REPLACED,
                Field.of("part", part),
                Field.of("term", election.heldTerm().orElse(0L)),
                Field.of("heldMillis", nowMillis() - acquiredAt));
        metrics.countReplacement();
        replacement.recordGivenUp(nowMillis());
        givingUp = true;
        holder.ifPresent(HolderController::stop);
        holder = Optional.empty();
        election.finishReading(false);
    }

    /** Logs when the lease may have expired, and when it turns out to have been renewed in time. */
    private void logLeaseCertainty() {
        boolean before = leaseUncertain;
        leaseUncertain = holder.isPresent() && holderWithValidLease().isEmpty();
        if (leaseUncertain != before && holder.isPresent()) {
            EventLog.log(
                    leaseUncertain ? TaskEvent.LEASE_UNCERTAIN : TaskEvent.LEASE_CONFIRMED,
                    Field.of("term", holder.get().term()),
                    Field.of("renewalAgeMillis", nowMillis() - election.lastRenewedAt()));
        }
    }

    private void writeLeaseIfDue() {
        if (stopped || writing || !follower.isLoaded() || isBeforeWriteRetry()) {
            return;
        }
        if (holder.flatMap(HolderController::board).isPresent()) {
            election.finishReading(true);
        }
        if (nextWrite() instanceof Decision.Write write) {
            long sentAt = nowMillis();
            lastWriteSentAt = sentAt;
            CompletionStage<Outcome> call = commit(write);
            writing = true;
            supervision.whenAnswered(
                    "lease",
                    call,
                    (outcome, fault) -> {
                        writing = false;
                        if (fault != null) {
                            onWriteFailure(fault);
                        } else {
                            onWriteOutcome(write, outcome, sentAt);
                        }
                    },
                    () -> lastWriteFailureAt = nowMillis());
        }
    }

    private Decision nextWrite() {
        if (givingUp) {
            Optional<Decision.Write> release = election.release();
            givingUp = release.isPresent();
            return release.isPresent() ? release.get() : new Decision.Wait();
        }
        Decision decision = election.decide(nowMillis());
        boolean tooEarly =
                decision instanceof Decision.Write write
                        && write.takeover()
                        && !replacement.mayTakeOver(nowMillis());
        return tooEarly ? new Decision.Wait() : decision;
    }

    private boolean isBeforeWriteRetry() {
        return nowMillis() < lastWriteFailureAt + WRITE_RETRY_DELAY.toMillis();
    }

    private CompletionStage<Outcome> commit(Decision.Write write) {
        if (!lastTriedRow.equals(Optional.of(write.row()))) {
            lastTriedRow = Optional.of(write.row());
            firstTriedAt = nowMillis();
        }
        String value = Json.encode(write.row());
        Condition leaseUnchanged = new Condition(StoreLayout.LEASE_KEY, write.version());
        Write lease = Write.put(StoreLayout.LEASE_KEY, value);
        if (!write.takeover()) {
            return store.commit(
                    StoreLayout.HOLDER_PARTITION, List.of(leaseUnchanged), List.of(lease));
        }
        return store.commit(
                StoreLayout.HOLDER_PARTITION,
                List.of(leaseUnchanged, new Condition(StoreLayout.TERM_KEY, termVersion)),
                List.of(lease, Write.put(StoreLayout.TERM_KEY, value)));
    }

    private void onWriteFailure(Throwable fault) {
        lastWriteFailureAt = nowMillis();
        EventLog.log(TaskEvent.LEASE_WRITE_FAILED, Field.of("why", fault.getMessage()));
    }

    private void onWriteOutcome(Decision.Write write, Outcome outcome, long sentAt) {
        switch (outcome) {
            case Outcome.Committed c -> {
                if (write.takeover()) {
                    termVersion = c.version();
                }
                election.writeSucceeded(write.row(), c.version(), sentAt, nowMillis());
            }
            case Outcome.Conflict conflict -> {
                for (Row row : conflict.current()) {
                    if (row.key().equals(StoreLayout.LEASE_KEY)) {
                        HolderRow current = Json.decode(row.value(), HolderRow.class);
                        if (current.equals(write.row())) {
                            // An earlier attempt took effect, perhaps the first, so the lease
                            // counts from that one.
                            election.writeSucceeded(
                                    current, row.version(), firstTriedAt, nowMillis());
                        } else {
                            election.observe(Optional.of(current), row.version(), nowMillis());
                        }
                    } else if (row.key().equals(StoreLayout.TERM_KEY)) {
                        termVersion = Math.max(termVersion, row.version());
                    }
                }
            }
        }
        startOrStopHolder();
    }

    /** Starts or stops the controller when the lease was acquired or lost. */
    private void startOrStopHolder() {
        Optional<Long> term = election.heldTerm();
        if (holder.isPresent() && !term.equals(holder.map(HolderController::term))) {
            EventLog.log(
                    TaskEvent.LEASE_LOST,
                    Field.of("term", holder.get().term()),
                    Field.of("heldMillis", nowMillis() - acquiredAt),
                    Field.of("renewalAgeMillis", nowMillis() - election.lastRenewedAt()),
                    Field.of("wasReady", holder.get().board().isPresent()));
            election.finishReading(holder.get().board().isPresent());
            holder.get().stop();
            holder = Optional.empty();
        }
        if (holder.isEmpty() && term.isPresent() && !stopped && !givingUp) {
            acquiredAt = nowMillis();
            EventLog.log(
                    TaskEvent.LEASE_ACQUIRED,
                    Field.of("term", term.get()),
                    Field.of("writeMillis", nowMillis() - firstTriedAt));
            election.startReading();
            if (!supervision.run(START, () -> startHolder(term.get()))) {
                giveUp(START);
            }
        }
    }

    private void startHolder(long term) {
        HolderController next = holderFactory.apply(term);
        holder = Optional.of(next);
        next.start();
    }
}
