package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Answers callers' requests about jobs. */
final class JobDesk {

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final Duration RETRY_SOON = Duration.ofSeconds(1);
    private static final int MOST_REMEMBERED = 20_000;
    private static final String NOT_STORED = "The job is not stored and has not run.";

    private final WatchedStore store;
    private final Scheduler scheduler;
    private final ManifestKeeper manifests;
    private final BooleanSupplier isFollowing;
    private final JobIntake intake;
    private final Supplier<Optional<HeldBoard>> board;
    private final PendingDesk pending;
    private final TaskMetrics metrics;
    private final Map<String, Known> known =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Known> eldest) {
                    return size() > MOST_REMEMBERED;
                }
            };

    /** What this process has seen of a job that exists. */
    private record Known(String customer, Optional<JobState> lastState) {}

    /** What a request is about, once its queue and its key are known. */
    private record Context(QueueRoute route, Optional<Customer> customer, String jobId) {}

    /**
     * Creates a desk.
     *
     * @param isFollowing whether changes of the configuration reach this process
     */
    JobDesk(
            WatchedStore store,
            Scheduler scheduler,
            ManifestKeeper manifests,
            BooleanSupplier isFollowing,
            JobIntake intake,
            Supplier<Optional<HeldBoard>> board,
            TaskMetrics metrics) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.manifests = Checks.notNull("manifests", manifests);
        this.isFollowing = Checks.notNull("isFollowing", isFollowing);
        this.intake = Checks.notNull("intake", intake);
        this.board = Checks.notNull("board", board);
        this.pending = new PendingDesk(store, scheduler, board);
        this.metrics = Checks.notNull("metrics", metrics);
    }

    /** Answers a request. */
    CompletionStage<JobAnswer> answer(JobRequest request) {
        long start = now();
        return serve(request)
                .exceptionally(fault -> Told.of(refused(request, fault)))
                .thenApply(
                        told -> {
                            log(request, told, now() - start);
                            return told.answer();
                        });
    }

    private long now() {
        return scheduler.now().toEpochMilli();
    }

    private void log(JobRequest request, Told told, long millis) {
        metrics.answered(request.action(), told.answer(), millis);
        EventLog.log(
                TaskEvent.ANSWERED,
                Field.of("action", request.action()),
                Field.of("path", request.path()),
                Field.of("manifest", manifests.manifest().map(Manifest::version).orElse(0L)),
                Field.of("answer", told.answer()),
                Field.of("basis", told.basis()),
                Field.of("ms", millis));
    }

    private JobAnswer refused(JobRequest request, Throwable fault) {
        Throwable cause = fault.getCause() == null ? fault : fault.getCause();
        EventLog.log(
                TaskEvent.NOT_SERVED,
                Field.of("action", request.action()),
                Field.of("path", request.path()),
                Field.of("why", cause.getMessage()));
        boolean mayHaveTakenEffect =
                request.action() != JobRequest.Action.READ
                        && cause instanceof ChervilliftException e
                        && e.code() == ErrorCode.OUTCOME_UNKNOWN;
        return mayHaveTakenEffect
                ? new JobAnswer.OutcomeUnknown()
                : unavailable("The store does not answer.");
    }

    private static JobAnswer unavailable(String why) {
        return new JobAnswer.Unavailable(why, RETRY_SOON);
    }

    private CompletionStage<Told> serve(JobRequest request) {
        Optional<Manifest> manifest = manifests.manifest();
        if (manifest.isEmpty()) {
            return done(unavailable("No manifest is known yet."));
        }
        Optional<QueueRoute> route = manifest.get().routeOf(request.host(), request.path());
        if (route.isEmpty()) {
            return done(asConfigured(new JobAnswer.NoSuchQueue()));
        }
        Optional<Customer> customer = request.key().flatMap(manifest.get()::customerOf);
        if (!route.get().openToAll() && customer.isEmpty()) {
            return done(asConfigured(new JobAnswer.KeyRefused()));
        }
        if (store.isSilent()) {
            return done(unavailable("The store does not answer; nothing was done."));
        }
        String rest = request.path().substring(route.get().pathPrefix().length());
        Context context = new Context(route.get(), customer, rest);
        if (rest.isEmpty()) {
            return request.action() == JobRequest.Action.READ
                    ? pending.tell(context.route().policy().queue())
                    : done(new JobAnswer.Malformed("The path names no job."));
        }
        if (!JOB_ID.matcher(rest).matches()) {
            return done(
                    request.action() == JobRequest.Action.SUBMIT
                            ? new JobAnswer.Malformed("A job's name has 16 hexadecimal digits.")
                            : new JobAnswer.NoSuchJob());
        }
        return switch (request.action()) {
            case SUBMIT -> submit(request, context);
            case READ -> read(context);
            case CANCEL -> cancel(context);
        };
    }

    /** Refuses by the configuration only while a newer one would be known. */
    private JobAnswer asConfigured(JobAnswer refusal) {
        return isFollowing.getAsBoolean()
                ? refusal
                : unavailable("The configuration may be out of date.");
    }

    private static CompletionStage<Told> done(JobAnswer answer) {
        return CompletableFuture.completedFuture(Told.of(answer));
    }

    private static CompletionStage<Told> done(JobAnswer answer, Basis basis) {
        return CompletableFuture.completedFuture(new Told(answer, basis));
    }

    private CompletionStage<Told> submit(JobRequest request, Context context) {
        JobSpec spec;
        try {
            spec = request.decode().apply(context.jobId());
        } catch (ChervilliftException e) {
            return done(new JobAnswer.Malformed(e.getMessage()));
        }
        if (known.containsKey(context.jobId())) {
            return done(new JobAnswer.Accepted());
        }
        String customer = context.customer().map(Customer::name).orElse("");
        AcceptedJob job =
                new AcceptedJob(
                        spec, context.route().policy(), customer, System.currentTimeMillis());
        return intake.store(job)
                .thenApply(
                        result ->
                                switch (result) {
                                    case STORED -> {
                                        known.put(job.id(), new Known(customer, Optional.empty()));
                                        yield Told.of(new JobAnswer.Accepted());
                                    }
                                    case NOT_STORED -> Told.of(unavailable(NOT_STORED));
                                    case UNKNOWN -> Told.of(new JobAnswer.OutcomeUnknown());
                                });
    }

    private CompletionStage<Told> read(Context context) {
        String id = context.jobId();
        Optional<HeldBoard> held = board.get();
        Optional<JobState> state = held.flatMap(h -> h.board().stateOf(id));
        if (state.isPresent()) {
            boolean allowed = mayAsk(context, held.get().board().customerOf(id).orElse(""));
            return done(
                    allowed ? new JobAnswer.State(state.get()) : new JobAnswer.NotAllowed(),
                    held.get().basis());
        }
        return withJob(
                context,
                job ->
                        job.lastState().isPresent()
                                ? done(
                                        new JobAnswer.State(job.lastState().get()),
                                        new Basis.Memory())
                                : readProgress(id, job));
    }

    /** Goes on with a job if it exists and the customer may ask for it. */
    private CompletionStage<Told> withJob(
            Context context, Function<Known, CompletionStage<Told>> then) {
        return find(context.jobId())
                .thenCompose(
                        found -> {
                            if (found.isEmpty()) {
                                return done(
                                        new JobAnswer.NoSuchJob(),
                                        new Basis.StoredRow(JobRows.JOBS, 0));
                            }
                            return mayAsk(context, found.get().customer())
                                    ? then.apply(found.get())
                                    : done(new JobAnswer.NotAllowed());
                        });
    }

    private static boolean mayAsk(Context context, String customer) {
        return customer.isEmpty()
                || context.customer().map(c -> c.name().equals(customer)).orElse(true);
    }

    /** Finds out whether a job exists. */
    private CompletionStage<Optional<Known>> find(String id) {
        Known seen = known.get(id);
        if (seen != null) {
            return CompletableFuture.completedFuture(Optional.of(seen));
        }
        return store.scan(JobRows.JOBS, JobRows.partOf(id), JobRows.bothOf(id))
                .thenApply(
                        page -> {
                            page.rows().forEach(this::remember);
                            return Optional.ofNullable(known.get(id));
                        });
    }

    /**
     * Remembers that a job exists.
     *
     * <p>A withdrawal says nothing of how the job ends: it may have been over by then. Only the
     * holder tells that, in the job's progress.
     */
    private void remember(Row row) {
        if (!JobRows.isCancel(row.key())) {
            String customer = Json.decode(row.value(), AcceptedJob.class).customer();
            known.putIfAbsent(JobRows.jobOf(row.key()), new Known(customer, Optional.empty()));
        }
    }

    private CompletionStage<Told> readProgress(String id, Known job) {
        return store.scan(JobRows.PROGRESS, JobRows.HOLDER_PART, JobRows.only(id))
                .thenApply(
                        page -> {
                            Optional<Row> row = page.rows().stream().findFirst();
                            JobState state =
                                    row.map(r -> Json.decode(r.value(), JobProgress.class))
                                            .map(JobProgress::state)
                                            .orElse(JobState.QUEUED);
                            if (state.isFinal()) {
                                known.put(id, new Known(job.customer(), Optional.of(state)));
                            }
                            return new Told(
                                    new JobAnswer.State(state),
                                    Basis.StoredRow.of(JobRows.PROGRESS, row));
                        });
    }

    private CompletionStage<Told> cancel(Context context) {
        String id = context.jobId();
        return withJob(context, job -> writeCancel(id).thenApply(o -> Told.of(cancelled(id))));
    }

    private CompletionStage<Outcome> writeCancel(String id) {
        return store.commit(
                JobRows.partOf(id),
                List.of(new Condition(JobRows.cancel(id), 0)),
                List.of(Write.put(JobRows.cancel(id), "{}")));
    }

    private JobAnswer cancelled(String id) {
        board.get().ifPresent(h -> h.board().cancel(id, now()));
        return new JobAnswer.Cancelled();
    }
}
