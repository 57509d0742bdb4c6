package org.chervillift.daemon.tasks;

import java.util.List;
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
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.admission.RetryTimes;
import org.chervillift.core.tasks.relay.RelayAnswers;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.daemon.tasks.KnownJobs.KnownJob;
import org.chervillift.daemon.tasks.relay.RelayedAnswer;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Handles callers' requests to submit, read and cancel jobs. */
final class JobRequestHandler {

    private static final int JOB_ID_LENGTH = 16;
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{" + JOB_ID_LENGTH + "}");

    private final MonitoredStore store;
    private final Scheduler scheduler;
    private final ManifestTracker manifests;
    private final BooleanSupplier isFollowing;
    private final Supplier<Optional<HolderBoard>> holderBoard;
    private final PendingCountHandler pendingCounts;
    private final TaskMetrics metrics;
    private final KnownJobs knownJobs;
    private final Relay relay;
    private final JobSubmitter submitter;

    /** The queue route, the customer and the job of a request. */
    private record RequestContext(QueueRoute route, Optional<Customer> customer, String jobId) {}

    /**
     * Creates a handler.
     *
     * @param isFollowing returns whether configuration changes are being received
     * @param knownJobs what this process remembers of jobs
     * @param relay relays requests that this process cannot serve
     */
    JobRequestHandler(
            MonitoredStore store,
            Scheduler scheduler,
            ManifestTracker manifests,
            BooleanSupplier isFollowing,
            JobIntake intake,
            Supplier<Optional<HolderBoard>> board,
            KnownJobs knownJobs,
            Relay relay,
            TaskMetrics metrics) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.manifests = Checks.notNull("manifests", manifests);
        this.isFollowing = Checks.notNull("isFollowing", isFollowing);
        this.holderBoard = Checks.notNull("board", board);
        this.knownJobs = Checks.notNull("knownJobs", knownJobs);
        this.relay = Checks.notNull("relay", relay);
        this.pendingCounts = new PendingCountHandler(store, scheduler, board);
        this.metrics = Checks.notNull("metrics", metrics);
        this.submitter =
                new JobSubmitter(
                        store,
                        scheduler,
                        intake,
                        new JobAdmission(store, scheduler, manifests, isFollowing, metrics),
                        knownJobs,
                        this::findJob);
    }

    /** Answers a request of a caller. */
    CompletionStage<JobAnswer> answer(JobRequest request) {
        long start = nowMillis();
        return answerHere(request)
                .thenCompose(local -> relay.relayIfNeeded(request, local, start))
                .thenApply(result -> withEarlierSubmissions(request, result))
                .thenApply(
                        result -> {
                            long millis = nowMillis() - start;
                            metrics.countAnswer(request.action(), result.answer(), millis);
                            log(request, result, millis, false);
                            return result.answer();
                        });
    }

    /** Answers a request that another entry VM has relayed; it is never relayed on. */
    CompletionStage<RelayedAnswer> answerForPeer(JobRequest request) {
        long start = nowMillis();
        return answerHere(request)
                .thenApply(
                        result -> {
                            log(request, result, nowMillis() - start, true);
                            return new RelayedAnswer(result.answer(), result.relayCause());
                        });
    }

    /**
     * Records a job that another entry VM may have stored, and passes on no refusal by another one
     * of a job that an earlier submission to this process may have stored.
     */
    private AnswerWithBasis withEarlierSubmissions(JobRequest request, AnswerWithBasis result) {
        if (request.action() != JobRequest.Action.SUBMIT) {
            return result;
        }
        String jobId = lastPart(request.path());
        if (result.answer() instanceof JobAnswer.OutcomeUnknown) {
            submitter.recordUnknown(jobId);
        }
        return result.basis() instanceof AnswerBasis.Peer
                ? new AnswerWithBasis(
                        RelayAnswers.toCaller(
                                request.action(), submitter.mayBeStored(jobId), result.answer()),
                        result.basis())
                : result;
    }

    /** Returns the job's identifier, also if the queue is not known here. */
    private static String lastPart(String path) {
        return path.substring(Math.max(0, path.length() - JOB_ID_LENGTH));
    }

    private CompletionStage<AnswerWithBasis> answerHere(JobRequest request) {
        return route(request).exceptionally(fault -> toFailureAnswer(request, fault));
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    private void log(JobRequest request, AnswerWithBasis result, long millis, boolean forPeer) {
        EventLog.log(
                TaskEvent.REQUEST_ANSWERED,
                Field.of("action", request.action()),
                Field.of("path", request.path()),
                Field.of("manifest", manifests.manifest().map(Manifest::version).orElse(0L)),
                Field.of("answer", result.answer()),
                Field.of("basis", result.basis()),
                Field.of("forPeer", forPeer),
                Field.of("ms", millis));
    }

    private AnswerWithBasis toFailureAnswer(JobRequest request, Throwable fault) {
        Throwable cause = fault.getCause() == null ? fault : fault.getCause();
        EventLog.log(
                TaskEvent.REQUEST_FAILED,
                Field.of("action", request.action()),
                Field.of("path", request.path()),
                Field.of("why", cause.getMessage()));
        boolean mayHaveTakenEffect =
                request.action() != JobRequest.Action.READ
                        && cause instanceof ChervilliftException e
                        && e.code() == ErrorCode.OUTCOME_UNKNOWN;
        JobAnswer answer =
                mayHaveTakenEffect
                        ? new JobAnswer.OutcomeUnknown()
                        : unavailable("The store does not respond.", request.path());
        return cause instanceof StoreException
                ? AnswerWithBasis.relayable(answer, RelayCause.STORE_UNRESPONSIVE)
                : AnswerWithBasis.of(answer);
    }

    /** Returns that a request, as identified by its path or its job, cannot be served now. */
    private JobAnswer unavailable(String why, String request) {
        return new JobAnswer.Unavailable(
                why, RetryTimes.afterOutage(request, store.unresponsiveMillis()));
    }

    private CompletionStage<AnswerWithBasis> route(JobRequest request) {
        Optional<Manifest> manifest = manifests.manifest();
        if (manifest.isEmpty()) {
            return relayable(
                    unavailable("No manifest has been read yet.", request.path()),
                    RelayCause.CONFIGURATION_OUTDATED);
        }
        Optional<QueueRoute> route = manifest.get().routeOf(request.host(), request.path());
        if (route.isEmpty()) {
            return refuseIfCurrent(new JobAnswer.NoSuchQueue(), request);
        }
        Optional<Customer> customer = request.key().flatMap(manifest.get()::customerOf);
        if (!route.get().openToAll() && customer.isEmpty()) {
            return refuseIfCurrent(new JobAnswer.KeyRefused(), request);
        }
        if (store.isUnresponsive()) {
            return relayable(
                    unavailable(
                            "The store does not respond; the request was not processed.",
                            request.path()),
                    RelayCause.STORE_UNRESPONSIVE);
        }
        String jobId = request.path().substring(route.get().pathPrefix().length());
        RequestContext context = new RequestContext(route.get(), customer, jobId);
        if (jobId.isEmpty()) {
            return request.action() == JobRequest.Action.READ
                    ? pendingCounts.answer(context.route().policy().queue())
                    : completed(new JobAnswer.Malformed("The path contains no job identifier."));
        }
        if (!JOB_ID.matcher(jobId).matches()) {
            return completed(
                    request.action() == JobRequest.Action.SUBMIT
                            ? new JobAnswer.Malformed(
                                    "A job identifier must have 16 hexadecimal digits.")
                            : new JobAnswer.NoSuchJob());
        }
        return switch (request.action()) {
            case SUBMIT -> submit(request, context);
            case READ -> read(context);
            case CANCEL -> cancel(context);
        };
    }

    /** Returns a refusal that follows from the configuration, unless that may be out of date. */
    private CompletionStage<AnswerWithBasis> refuseIfCurrent(
            JobAnswer refusal, JobRequest request) {
        return isFollowing.getAsBoolean()
                ? completed(refusal)
                : relayable(
                        unavailable("The configuration may be out of date.", request.path()),
                        RelayCause.CONFIGURATION_OUTDATED);
    }

    private static CompletionStage<AnswerWithBasis> relayable(JobAnswer answer, RelayCause cause) {
        return CompletableFuture.completedFuture(AnswerWithBasis.relayable(answer, cause));
    }

    private static CompletionStage<AnswerWithBasis> completed(JobAnswer answer) {
        return CompletableFuture.completedFuture(AnswerWithBasis.of(answer));
    }

    private static CompletionStage<AnswerWithBasis> completed(JobAnswer answer, AnswerBasis basis) {
        return CompletableFuture.completedFuture(new AnswerWithBasis(answer, basis));
    }

    private CompletionStage<AnswerWithBasis> submit(JobRequest request, RequestContext context) {
        JobSpec spec;
        try {
            spec = request.decode().apply(context.jobId());
        } catch (ChervilliftException e) {
            return completed(new JobAnswer.Malformed(e.getMessage()));
        }
        return submitter.submit(spec, context.route().policy(), context.customer());
    }

    private CompletionStage<AnswerWithBasis> read(RequestContext context) {
        String id = context.jobId();
        Optional<HolderBoard> currentBoard = holderBoard.get();
        Optional<JobStatus> status = currentBoard.flatMap(h -> h.board().statusOf(id));
        if (status.isPresent()) {
            boolean allowed =
                    isAllowed(context, currentBoard.get().board().customerOf(id).orElse(""));
            return completed(
                    allowed ? new JobAnswer.State(status.get()) : new JobAnswer.NotAllowed(),
                    currentBoard.get().basis());
        }
        return withAccessibleJob(
                context,
                job ->
                        job.finalStatus().isPresent()
                                ? completed(
                                        new JobAnswer.State(job.finalStatus().get()),
                                        new AnswerBasis.Memory())
                                : readProgress(id, job));
    }

    /** Passes the job to the next step if it exists and the customer may access it. */
    private CompletionStage<AnswerWithBasis> withAccessibleJob(
            RequestContext context, Function<KnownJob, CompletionStage<AnswerWithBasis>> then) {
        return findJob(context.jobId())
                .thenCompose(
                        found -> {
                            if (found.isEmpty()) {
                                return completed(
                                        new JobAnswer.NoSuchJob(),
                                        new AnswerBasis.StoredRow(StoreLayout.JOBS_TABLE, 0));
                            }
                            return isAllowed(context, found.get().customer())
                                    ? then.apply(found.get())
                                    : completed(new JobAnswer.NotAllowed());
                        });
    }

    private static boolean isAllowed(RequestContext context, String customer) {
        return customer.isEmpty()
                || context.customer().map(c -> c.name().equals(customer)).orElse(true);
    }

    /** Looks a job up among the known jobs, then in the store. */
    private CompletionStage<Optional<KnownJob>> findJob(String id) {
        Optional<KnownJob> known = knownJobs.find(id, nowMillis());
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known);
        }
        return store.scan(
                        StoreLayout.JOBS_TABLE,
                        StoreLayout.partitionOf(id),
                        StoreLayout.jobAndCancellationRange(id))
                .thenApply(
                        page ->
                                page.rows().stream()
                                        .filter(r -> !StoreLayout.isCancellation(r.key()))
                                        .findFirst()
                                        .map(JobRequestHandler::toKnownJob));
    }

    /**
     * Returns what the row of a job says.
     *
     * <p>A cancellation does not determine the final state, since the job may have ended before.
     * Only the holder determines it, in the job's progress row.
     */
    private static KnownJob toKnownJob(Row row) {
        String customer = Json.decode(row.value(), AcceptedJob.class).customer();
        return new KnownJob(customer, Optional.empty());
    }

    private CompletionStage<AnswerWithBasis> readProgress(String id, KnownJob job) {
        return store.scan(
                        StoreLayout.PROGRESS_TABLE,
                        StoreLayout.HOLDER_PARTITION,
                        StoreLayout.singleKeyRange(id))
                .thenApply(
                        page -> {
                            Optional<Row> row = page.rows().stream().findFirst();
                            JobStatus status =
                                    row.map(r -> Json.decode(r.value(), JobProgress.class))
                                            .map(JobProgress::status)
                                            .orElse(JobStatus.of(JobState.QUEUED));
                            Optional<JobStatus> end =
                                    Optional.of(status).filter(t -> t.state().isFinal());
                            knownJobs.remember(id, new KnownJob(job.customer(), end), nowMillis());
                            return new AnswerWithBasis(
                                    new JobAnswer.State(status),
                                    AnswerBasis.StoredRow.of(StoreLayout.PROGRESS_TABLE, row));
                        });
    }

    private CompletionStage<AnswerWithBasis> cancel(RequestContext context) {
        String id = context.jobId();
        return withAccessibleJob(
                context,
                job ->
                        storeCancellation(id)
                                .thenApply(o -> AnswerWithBasis.of(applyCancellation(id))));
    }

    private CompletionStage<Outcome> storeCancellation(String id) {
        return store.commit(
                StoreLayout.partitionOf(id),
                List.of(new Condition(StoreLayout.cancellationKey(id), 0)),
                List.of(Write.put(StoreLayout.cancellationKey(id), "{}")));
    }

    private JobAnswer applyCancellation(String id) {
        holderBoard.get().ifPresent(h -> h.board().cancel(id, nowMillis()));
        return new JobAnswer.Cancelled();
    }
}
