package org.chervillift.core.tasks.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {

    private static final String ID = "5c0e7a21d94b36f8";
    private static final long AS_OF = 50_000;
    private static final QueuePolicy QUEUE = new QueuePolicy("q", "p", 1, 2, 1, 600, false);
    private static final Resources SMALL = new Resources(1_000, 100, 0);

    /** Three objectives of 600 ms and a run of 500 ms. */
    private static final long BOUND_MILLIS = 3_300;

    private static StepSpec step(int count, Resources request, boolean gang, boolean lasts) {
        return new StepSpec(
                count, request, 500, List.of(), gang, false, "", "", 0, false, lasts, "", 0, false,
                0, false);
    }

    private static JobSpec job(StepSpec step) {
        return new JobSpec(ID, "", List.of(step), Schedule.ONCE);
    }

    private static final JobSpec ONE_TASK = job(step(1, SMALL, false, false));

    private static PublishedFigures figures(long startMillis, long percent) {
        return new PublishedFigures(
                new FleetFigures(
                        List.of(
                                new PoolCapacity("p", new Resources(4_000, 1_000, 0)),
                                new PoolCapacity("spare", new Resources(2_000, 8_000, 1))),
                        List.of(new QueueForecast("q", startMillis, SMALL, percent))),
                AS_OF);
    }

    private static Optional<Rejection.Cause> decide(
            JobSpec job, Resources limit, PublishedFigures figures, long now) {
        return AdmissionPolicy.decide(job, QUEUE, limit, figures, now).map(Rejection::cause);
    }

    private static Optional<Rejection.Cause> decide(JobSpec job, PublishedFigures figures) {
        return decide(job, Resources.NONE, figures, AS_OF);
    }

    /**
     * Guards against jobs that never start. VMs move between pools, so those of all pools count.
     */
    @Test
    void aTaskThatNoVmCouldRunIsRejected() {
        PublishedFigures known = figures(0, 100);
        StepSpec tooLarge = step(1, new Resources(4_001, 1, 0), false, false);
        assertThat(decide(job(tooLarge), known)).contains(Rejection.Cause.EXCEEDS_ANY_VM);
        StepSpec fitsElsewhere = step(1, new Resources(4_000, 8_000, 1), false, true);
        assertThat(decide(job(fitsElsewhere), known)).isEmpty();
    }

    @Test
    void unknownOrOldFiguresRejectNothing() {
        StepSpec tooLarge = step(1, new Resources(4_001, 1, 0), false, false);
        PublishedFigures known = figures(60_000, 100);
        assertThat(decide(job(tooLarge), PublishedFigures.NONE)).isEmpty();
        for (JobSpec job : List.of(job(tooLarge), ONE_TASK)) {
            assertThat(decide(job, Resources.NONE, known, AS_OF + 2_000)).isPresent();
            assertThat(decide(job, Resources.NONE, known, AS_OF + 2_001)).isEmpty();
            assertThat(decide(job, Resources.NONE, known, AS_OF - 1)).isEmpty();
        }
    }

    /** Guards against jobs that never start. Tasks outside a gang may start one after the other. */
    @Test
    void aTaskOrAGangAboveTheLimitOfItsCustomerIsRejected() {
        Resources limit = new Resources(3_000, 0, 0);
        JobSpec gang = job(step(4, SMALL, true, false));
        assertThat(decide(gang, limit, PublishedFigures.NONE, AS_OF))
                .contains(Rejection.Cause.EXCEEDS_CUSTOMER_LIMIT);
        JobSpec tasks = job(step(4, SMALL, false, false));
        assertThat(decide(tasks, limit, PublishedFigures.NONE, AS_OF)).isEmpty();
    }

    @Test
    void aJobIsRejectedForTimeOnlyBeyondThreeObjectives() {
        assertThat(decide(ONE_TASK, figures(BOUND_MILLIS, 100))).isEmpty();
        Optional<Rejection> rejection =
                AdmissionPolicy.decide(
                        ONE_TASK, QUEUE, Resources.NONE, figures(BOUND_MILLIS + 1, 100), AS_OF);
        assertThat(rejection).containsInstanceOf(Rejection.Later.class);
    }

    /** Run times are longer than estimated, so the objective is later than it seems. */
    @Test
    void aJobIsNotRejectedIfItsEstimateIsTooShort() {
        assertThat(decide(ONE_TASK, figures(BOUND_MILLIS + 1, 200))).isEmpty();
    }

    /** Urgent tasks wait for accelerators or whole workers, and leave room that they cannot use. */
    @Test
    void aJobOfSmallerTasksThanThoseThatGoFirstIsNotRejected() {
        JobSpec smaller = job(step(1, new Resources(1_000, 99, 0), false, false));
        assertThat(decide(smaller, figures(60_000, 100))).isEmpty();
    }

    @Test
    void jobsThatLastOrRepeatAndQueuesWithoutObjectiveAreNotRejectedForTime() {
        PublishedFigures late = figures(60_000, 100);
        assertThat(decide(job(step(1, SMALL, false, true)), late)).isEmpty();
        JobSpec repeating = new JobSpec(ID, "", ONE_TASK.steps(), new Schedule(5, 0, 1_000));
        assertThat(decide(repeating, late)).isEmpty();
        QueuePolicy noObjective = new QueuePolicy("q", "p", 1, 2, 1, 0, false);
        assertThat(AdmissionPolicy.decide(ONE_TASK, noObjective, Resources.NONE, late, AS_OF))
                .isEmpty();
    }

    /**
     * Guards against callers that retry all at once, and against shorter times for a second try.
     */
    @Test
    void retriesAreSpreadAndBounded() {
        assertThat(RetryTimes.afterBacklog(ID, 8_000))
                .isEqualTo(RetryTimes.afterBacklog(ID, 8_000));
        for (long wait : List.of(0L, 1_000L, 20_000L, Long.MAX_VALUE)) {
            List<Duration> times =
                    IntStream.range(0, 1_000)
                            .mapToObj(i -> RetryTimes.afterBacklog(String.format("%016x", i), wait))
                            .toList();
            assertThat(times).allMatch(t -> t.toSeconds() >= 1 && t.toSeconds() <= 30);
            assertThat(times.stream().distinct().count()).isGreaterThan(1);
        }
    }

    /** A short outage may concern this process only; after a long one, all callers retry. */
    @Test
    void callersComeBackSoonFromAShortOutageAndSpreadFromALongOne() {
        List<String> paths = IntStream.range(0, 100).mapToObj(i -> "/q/" + i).toList();
        assertThat(paths)
                .allMatch(p -> RetryTimes.afterOutage(p, 4_999).equals(Duration.ofSeconds(1)));
        assertThat(paths.stream().map(p -> RetryTimes.afterOutage(p, 5_000)).distinct())
                .containsExactlyInAnyOrder(Duration.ofSeconds(1), Duration.ofSeconds(2));
    }
}
