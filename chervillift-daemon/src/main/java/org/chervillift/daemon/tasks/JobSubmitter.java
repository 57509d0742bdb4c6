package org.chervillift.daemon.tasks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.core.tasks.admission.Rejection;
import org.chervillift.core.tasks.admission.RetryTimes;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.daemon.tasks.KnownJobs.KnownJob;
import org.chervillift.runtime.supervision.Scheduler;

/** Stores submitted jobs, or rejects them. */
final class JobSubmitter {

    private static final String ROW_TOO_LARGE_MESSAGE =
            "The job is too large for a row of the store; it was not stored and has not run.";
    private static final String NOT_STORED_MESSAGE = "The job was not stored and has not run.";

    private static final String NOT_PROCESSED_MESSAGE =
            "The store does not respond; the request was not processed.";

    private final MonitoredStore store;
    private final Scheduler scheduler;
    private final JobIntake intake;
    private final JobAdmission admission;
    private final KnownJobs knownJobs;
    private final Function<String, CompletionStage<Optional<KnownJob>>> findJob;
    private final OpenSubmissions submissions = new OpenSubmissions();

    /**
     * Creates a submitter.
     *
     * @param findJob looks a job up by its identifier
     */
    JobSubmitter(
            MonitoredStore store,
            Scheduler scheduler,
            JobIntake intake,
            JobAdmission admission,
            KnownJobs knownJobs,
            Function<String, CompletionStage<Optional<KnownJob>>> findJob) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.intake = Checks.notNull("intake", intake);
        this.admission = Checks.notNull("admission", admission);
        this.knownJobs = Checks.notNull("knownJobs", knownJobs);
        this.findJob = Checks.notNull("findJob", findJob);
    }

    /** Handles the submission of a job to a queue. */
    CompletionStage<AnswerWithBasis> submit(
            JobSpec spec, QueuePolicy queue, Optional<Customer> customer) {
        if (knownJobs.find(spec.id(), nowMillis()).isPresent()) {
            return CompletableFuture.completedFuture(AnswerWithBasis.of(new JobAnswer.Accepted()));
        }
        String owner = customer.map(Customer::name).orElse("");
        AcceptedJob job = new AcceptedJob(spec, queue, owner, System.currentTimeMillis());
        return admission
                .check(spec, queue, customer)
                .thenCompose(r -> r.isEmpty() ? store(job) : rejectUnlessStored(job, r.get()));
    }

    /** Returns whether a job may be stored by an earlier submission to this process. */
    boolean mayBeStored(String jobId) {
        return submissions.mayStore(jobId, nowMillis());
    }

    /** Records that it is not known whether another entry VM has stored a job. */
    void recordUnknown(String jobId) {
        submissions.recordUnknown(jobId, nowMillis());
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    /**
     * Rejects a job that is not stored, so that it is true that it has not run. A job that is
     * stored, or may be, is treated as an accepted one.
     */
    private CompletionStage<AnswerWithBasis> rejectUnlessStored(
            AcceptedJob job, Rejection rejection) {
        if (mayBeStored(job.id())) {
            return store(job);
        }
        return findJob.apply(job.id())
                .handle(
                        (found, fault) -> {
                            if (mayBeStored(job.id())) {
                                return store(job);
                            }
                            if (fault != null) {
                                return whileUnread(job, rejection);
                            }
                            JobAnswer answer =
                                    found.isPresent()
                                            ? new JobAnswer.Accepted()
                                            : admission.reject(rejection, job.policy());
                            return CompletableFuture.completedStage(AnswerWithBasis.of(answer));
                        })
                .thenCompose(Function.identity());
    }

    /**
     * Handles a job to be rejected of which it cannot be read whether it is stored. One that can
     * never be served is not stored, since it would wait for ever.
     */
    private CompletionStage<AnswerWithBasis> whileUnread(AcceptedJob job, Rejection rejection) {
        return switch (rejection) {
            case Rejection.Later l -> store(job);
            case Rejection.NeverServed n ->
                    CompletableFuture.completedStage(
                            AnswerWithBasis.relayable(
                                    unavailable(NOT_PROCESSED_MESSAGE, job),
                                    RelayCause.STORE_UNRESPONSIVE));
        };
    }

    private CompletionStage<AnswerWithBasis> store(AcceptedJob job) {
        submissions.begin(job.id());
        return intake.store(job)
                .whenComplete(
                        (result, fault) ->
                                submissions.end(
                                        job.id(),
                                        fault == null && result != JobIntake.Result.UNKNOWN,
                                        nowMillis()))
                .thenApply(result -> toAnswer(result, job));
    }

    private AnswerWithBasis toAnswer(JobIntake.Result result, AcceptedJob job) {
        return switch (result) {
            case STORED -> {
                KnownJob known = new KnownJob(job.customer(), Optional.empty());
                knownJobs.remember(job.id(), known, nowMillis());
                yield AnswerWithBasis.of(new JobAnswer.Accepted());
            }
            case TOO_LARGE -> AnswerWithBasis.of(new JobAnswer.TooLarge(ROW_TOO_LARGE_MESSAGE));
            case QUEUE_FULL -> AnswerWithBasis.of(notStored(job));
            case NOT_STORED -> AnswerWithBasis.relayable(notStored(job), RelayCause.NOT_WRITTEN);
            case UNKNOWN ->
                    AnswerWithBasis.relayable(
                            new JobAnswer.OutcomeUnknown(), RelayCause.STORE_UNRESPONSIVE);
        };
    }

    private JobAnswer notStored(AcceptedJob job) {
        if (mayBeStored(job.id())) {
            return new JobAnswer.OutcomeUnknown();
        }
        return unavailable(NOT_STORED_MESSAGE, job);
    }

    private JobAnswer unavailable(String why, AcceptedJob job) {
        return new JobAnswer.Unavailable(
                why, RetryTimes.afterOutage(job.id(), store.unresponsiveMillis()));
    }
}
