package org.chervillift.core.tasks.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.JobSizeLimits;
import org.chervillift.core.tasks.StepChains;

/**
 * Decides at submission whether a job is rejected.
 *
 * <p>Addresses jobs that would never start, since no VM or no limit of a customer is large enough
 * for them, and surges of several times what a pool can work off before the jobs lose their value.
 * What is not known rejects nothing.
 */
public final class AdmissionPolicy {

    /** A job that starts after this many times its latency objective is of no more value. */
    static final int VALUELESS_AFTER_OBJECTIVES = 3;

    private static final double PERCENT = 100;

    private AdmissionPolicy() {}

    /**
     * Returns why a job is rejected, if it is.
     *
     * @param limit what may run for the customer at once, of which a zero sets no bound
     * @param published the newest figures that were read
     * @param now the latest time that the store's clock may show, in milliseconds
     */
    public static Optional<Rejection> decide(
            JobSpec job, QueuePolicy queue, Resources limit, PublishedFigures published, long now) {
        FleetFigures figures = published.at(now);
        return tooLargeGang(job)
                .or(() -> aboveLimit(job, limit))
                .or(() -> aboveAnyVm(job, figures))
                .or(() -> tooLate(job, queue, figures));
    }

    private static Optional<Rejection> tooLargeGang(JobSpec job) {
        return JobSizeLimits.failureOf(job)
                .map(f -> never(Rejection.Cause.GANG_TOO_LARGE, f.sentence()));
    }

    private static Optional<Rejection> aboveLimit(JobSpec job, Resources limit) {
        List<StepSpec> steps = job.steps();
        for (int i = 0; i < steps.size(); i++) {
            Resources together = startedTogether(steps.get(i));
            if (!together.fitsInLimit(limit)) {
                return Optional.of(
                        never(
                                Rejection.Cause.EXCEEDS_CUSTOMER_LIMIT,
                                "Step "
                                        + i
                                        + " asks for "
                                        + text(together)
                                        + " at once, and the customer may have at most "
                                        + limitText(limit)
                                        + " running."));
            }
        }
        return Optional.empty();
    }

    /** Returns what a step needs to start at all: one task, or all tasks of a gang. */
    private static Resources startedTogether(StepSpec step) {
        return step.gang() ? step.request().times(step.count()) : step.request();
    }

    private static Optional<Rejection> aboveAnyVm(JobSpec job, FleetFigures figures) {
        Optional<Resources> largest = figures.largest();
        List<StepSpec> steps = job.steps();
        for (int i = 0; largest.isPresent() && i < steps.size(); i++) {
            Resources footprint = steps.get(i).footprint();
            if (!footprint.fitsIn(largest.get())) {
                return Optional.of(
                        never(
                                Rejection.Cause.EXCEEDS_ANY_VM,
                                "A task of step "
                                        + i
                                        + " asks for "
                                        + text(footprint)
                                        + ", and VMs offer at most "
                                        + text(largest.get())
                                        + "."));
            }
        }
        return Optional.empty();
    }

    private static Rejection never(Rejection.Cause cause, String sentence) {
        return new Rejection.NeverServed(
                cause, sentence + " The job was not stored and has not run.");
    }

    private static String text(Resources amount) {
        return amount.milliCores()
                + " millicores, "
                + amount.memoryMb()
                + " MB and "
                + amount.gpus()
                + " accelerators";
    }

    private static String limitText(Resources limit) {
        return text(limit) + " (0: no limit)";
    }

    private static Optional<Rejection> tooLate(
            JobSpec job, QueuePolicy queue, FleetFigures figures) {
        if (queue.targetLatencyMillis() <= 0 || !hasKnownEnd(job)) {
            return Optional.empty();
        }
        return figures.forecastOf(queue.queue())
                .filter(f -> findsNoRoomBeside(job, f))
                .map(f -> f.startMillis() - valuableMillis(job, queue, f))
                .filter(excess -> excess > 0)
                .map(excess -> new Rejection.Later(RetryTimes.afterBacklog(job.id(), excess)));
    }

    /** Returns whether a job runs once, and callers have estimated when it ends. */
    private static boolean hasKnownEnd(JobSpec job) {
        return job.schedule().equals(Schedule.ONCE)
                && job.steps().stream().allMatch(s -> !s.longRunning() && s.estimatedMillis() > 0);
    }

    /** Returns whether no task of a job may start where none of those that go first fits. */
    private static boolean findsNoRoomBeside(JobSpec job, QueueForecast forecast) {
        return job.steps().stream()
                .filter(s -> s.after().isEmpty())
                .allMatch(s -> forecast.largest().fitsIn(s.footprint()));
    }

    /** Returns until when the start of a job is of value, in milliseconds from now. */
    private static long valuableMillis(JobSpec job, QueuePolicy queue, QueueForecast forecast) {
        long percent = Math.max(QueueForecast.AS_ESTIMATED_PERCENT, forecast.runTimePercent());
        long chainMillis =
                StepChains.longestMillis(
                        job.steps(), Function.identity(), StepSpec::estimatedMillis);
        double runMillis = chainMillis * (percent / PERCENT);
        double objective = queue.targetLatencyMillis() + queue.stretchFactor() * runMillis;
        return (long) (VALUELESS_AFTER_OBJECTIVES * objective);
    }
}
