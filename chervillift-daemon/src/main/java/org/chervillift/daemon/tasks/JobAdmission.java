package org.chervillift.daemon.tasks;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.admission.AdmissionPolicy;
import org.chervillift.core.tasks.admission.PublishedFigures;
import org.chervillift.core.tasks.admission.Rejection;
import org.chervillift.runtime.supervision.Scheduler;

/** Decides on submissions from the newest manifest and from what the holder publishes. */
final class JobAdmission {

    private final PublishedFigureReader reader;
    private final ManifestTracker manifests;
    private final BooleanSupplier isFollowing;
    private final RejectionLog log;

    JobAdmission(
            MonitoredStore store,
            Scheduler scheduler,
            ManifestTracker manifests,
            BooleanSupplier isFollowing,
            TaskMetrics metrics) {
        this.reader = new PublishedFigureReader(store, scheduler);
        this.manifests = Checks.notNull("manifests", manifests);
        this.isFollowing = Checks.notNull("isFollowing", isFollowing);
        this.log = new RejectionLog(scheduler, metrics);
    }

    /**
     * Returns why a job is rejected, if it is. Does not check whether the job is already stored.
     *
     * @param queue the queue at the time of the request; the newest manifest decides
     */
    CompletionStage<Optional<Rejection>> check(
            JobSpec job, QueuePolicy queue, Optional<Customer> customer) {
        return reader.figures().thenApply(figures -> decide(job, queue, customer, figures));
    }

    private Optional<Rejection> decide(
            JobSpec job, QueuePolicy queue, Optional<Customer> customer, PublishedFigures figures) {
        Optional<Manifest> manifest = manifests.manifest().filter(m -> isFollowing.getAsBoolean());
        Resources limit =
                manifest.flatMap(m -> customer.map(c -> m.customers().get(c.name())))
                        .map(Customer::limit)
                        .orElse(Resources.NONE);
        QueuePolicy policy = manifest.flatMap(m -> m.policyOf(queue.queue())).orElse(queue);
        return AdmissionPolicy.decide(
                job,
                policy,
                limit,
                manifest.isPresent() ? figures : PublishedFigures.NONE,
                reader.latestStoreMillis());
    }

    /** Returns the answer to the caller of a job that is rejected, and counts it. */
    JobAnswer reject(Rejection rejection, QueuePolicy queue) {
        log.record(rejection.cause(), queue.queue());
        return switch (rejection) {
            case Rejection.NeverServed n -> new JobAnswer.TooLarge(n.sentence());
            case Rejection.Later l -> new JobAnswer.TooBusy(l.retryAfter());
        };
    }
}
